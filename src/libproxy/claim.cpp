#include "claim.h"

#include "local_routes.h"

#include <openssl/sha.h>

namespace lovagehold {

namespace {

Digest
digest_of(const std::string& body)
{
  Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(body.data()), body.size(), digest.data());
  return digest;
}

WallTime
wall_now()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

StringResponse
make_stored_response(const Exchange& exchange, const StoredResponse& stored_response)
{
  StringResponse response(static_cast<http::status>(stored_response.status),
                          exchange.request.version());
  response.keep_alive(exchange.request.keep_alive());
  if (!stored_response.content_type.empty()) {
    response.set(http::field::content_type, stored_response.content_type);
  }
  response.set(kOutcomeHeader, "done");
  response.body() = stored_response.body;
  response.prepare_payload();
  return response;
}

StringResponse
make_claim_refused_response(const Exchange& exchange, const ApplyResult& claim)
{
  switch (claim.claim) {
    case ClaimStatus::Done:
      return make_stored_response(exchange,
                                  claim.stored_response.value_or(StoredResponse{ .status = 200 }));
    case ClaimStatus::InProgress:
      return make_error_response(exchange.request,
                                 http::status::conflict,
                                 "the key is in progress",
                                 "ask /.lovagehold/keys for its outcome",
                                 "in-progress");
    case ClaimStatus::DigestDiffers:
      return make_error_response(exchange.request,
                                 http::status::unprocessable_entity,
                                 "the key was used with another body",
                                 "use a new Idempotency-Key for a new request",
                                 "not-run");
    case ClaimStatus::StoreFull:
      return make_error_response(exchange.request,
                                 http::status::service_unavailable,
                                 "the store of outcomes is full",
                                 "try again later",
                                 "not-run");
    default:
      return make_unknown_response(exchange, "the request may have run");
  }
}

} // namespace

awaitable<std::optional<StringResponse>>
claim_key(Exchange& exchange, const Claim& claim)
{
  const ClaimKey fields{ .service = exchange.service,
                         .key = claim.key,
                         .body_digest = digest_of(exchange.request.body()),
                         .attempt = claim.attempt,
                         .holder = exchange.context.options.self,
                         .now = wall_now(),
                         .retention = exchange.route->declaration.keep_outcomes };
  const Command command = fields;
  const Result<ApplyResult> result = co_await propose(exchange.context, command);
  if (result.has_error()) {
    // The proposal may still be committed later, so the outcome is not known.
    co_return make_unknown_response(exchange, "the claim on the key was not confirmed");
  }
  if (result.value().claim == ClaimStatus::Granted) {
    co_return std::nullopt;
  }
  co_return make_claim_refused_response(exchange, result.value());
}

awaitable<bool>
record_not_run(Exchange& exchange, const Claim& claim)
{
  const RecordOutcome record{ .service = exchange.service,
                              .key = claim.key,
                              .attempt = claim.attempt,
                              .outcome = OutcomeKind::NotRun,
                              .now = wall_now() };
  const Command command = record;
  const Result<ApplyResult> result = co_await propose(exchange.context, command);
  co_return result.has_value() && result.value().accepted;
}

awaitable<void>
record_unknown(Exchange& exchange, const Claim& claim)
{
  const RecordOutcome record{ .service = exchange.service,
                              .key = claim.key,
                              .attempt = claim.attempt,
                              .outcome = OutcomeKind::Unknown,
                              .now = wall_now() };
  const Command command = record;
  static_cast<void>(co_await propose(exchange.context, command));
}

awaitable<void>
record_done(Exchange& exchange, const Claim& claim, const StoredResponse& stored_response)
{
  const RecordOutcome record{ .service = exchange.service,
                              .key = claim.key,
                              .attempt = claim.attempt,
                              .stored_response = stored_response,
                              .now = wall_now() };
  const Command command = record;
  const Result<ApplyResult> result = co_await propose(exchange.context, command);
  if (result.has_error()) {
    exchange.context.log.warn("outcome_not_recorded",
                              { { "service", exchange.service },
                                { "attempt", claim.attempt },
                                { "reason", result.error().message } });
  }
}

StringResponse
make_unknown_response(const Exchange& exchange, const std::string& error)
{
  return make_error_response(
    exchange.request,
    http::status::gateway_timeout,
    error,
    "ask /.lovagehold/keys for the outcome, or check the effect of the request "
    "before sending it under a new key",
    "unknown");
}

bool
may_claim(const Exchange& exchange)
{
  const SlotShare share = exchange.context.table.share(exchange.service, Clock::now());
  return share == SlotShare::Full || share == SlotShare::Reduced;
}

} // namespace lovagehold
