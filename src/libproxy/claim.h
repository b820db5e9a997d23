#pragma once

#include "exchange.h"

namespace lovagehold {

/// The claim that a non-idempotent request holds for one attempt.
struct Claim
{
  std::string key;
  /// Unique over all attempts of all hosts.
  std::string attempt;
};

/// Makes the claim durable. \return nothing if the attempt may run, else the response to send.
awaitable<std::optional<StringResponse>> claim_key(Exchange& exchange, const Claim& claim);

/// Commits that the attempt did not run. \return whether this is committed.
awaitable<bool> record_not_run(Exchange& exchange, const Claim& claim);

/// Makes durable that the attempt may have run and that its response is lost, so that the key does
/// not stay in progress.
awaitable<void> record_unknown(Exchange& exchange, const Claim& claim);

/// Commits the response of the attempt.
awaitable<void> record_done(Exchange& exchange, const Claim& claim, const StoredResponse& answer);

/// \return the response that says that the request may have run.
StringResponse make_unknown(const Exchange& exchange, const std::string& error);

/// \return whether this host may propose claims for the service now.
bool may_claim(const Exchange& exchange);

} // namespace lovagehold
