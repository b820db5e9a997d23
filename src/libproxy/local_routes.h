#pragma once

#include "entry_context.h"
#include "framing.h"
#include "http_types.h"

namespace lovagehold {

/// Serves the requests under /.lovagehold/: address queries, announcements and removals of servers,
/// and look-ups of idempotency keys.
awaitable<StringResponse> answer_local(EntryContext& context, const StringRequest& request);

/// \return an error response of lovagehold itself, with a JSON body that names the error and its
/// remedy.
/// \param outcome value of the outcome header; no header if empty
StringResponse make_error_response(const StringRequest& request,
                                   http::status status,
                                   const std::string& error,
                                   const std::string& remedy,
                                   const std::string& outcome = "");

/// \return the response to an invalid request; the connection is closed after it.
StringResponse make_fault_response(const StringRequest& request, const RequestFault& fault);

/// Proposes a command and waits for its result.
/// \param command must outlive the call and must be a named variable of the caller, because g++ 12
/// destroys aggregate temporaries inside a co_await expression twice
awaitable<Result<ApplyResult>> propose(EntryContext& context, const Command& command);

} // namespace lovagehold
