#pragma once

#include "exchange.h"

namespace lovagehold {

/// Claim on an idempotency key, held for one attempt of a non-idempotent request. It ensures that
/// the request runs at most once.
struct Claim
{
  std::string key;
  /// Id of the attempt, unique over all attempts of all hosts.
  std::string attempt;
};

/// Commits the claim. \return nothing if it was granted and the attempt may run, else the response
/// to send.
awaitable<std::optional<StringResponse>> claim_key(Exchange& exchange, const Claim& claim);

/// Commits that the attempt did not run, which releases the claim. \return whether the commit was
/// confirmed.
awaitable<bool> record_not_run(Exchange& exchange, const Claim& claim);

/// Commits that the attempt may have run but its response is lost, so that the key does not stay in
/// progress.
awaitable<void> record_unknown(Exchange& exchange, const Claim& claim);

/// Commits the response of the attempt, so that a repeated request receives the same one.
awaitable<void> record_done(Exchange& exchange,
                            const Claim& claim,
                            const StoredResponse& stored_response);

/// \return a 504 response with outcome "unknown": the request may have run.
StringResponse make_unknown_response(const Exchange& exchange, const std::string& error);

/// \return whether this host's share of the service allows it to propose claims now.
bool may_claim(const Exchange& exchange);

} // namespace lovagehold
