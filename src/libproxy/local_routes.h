#pragma once

#include "entry_context.h"
#include "framing.h"
#include "http_types.h"

namespace lovagehold {

/// Answers the requests under /.lovagehold/: address queries, announcements, leaves and key
/// look-ups.
awaitable<StringResponse> answer_local(EntryContext& context, const StringRequest& request);

/// \return an answer made by lovagehold itself, with a JSON body that names the error and its
/// remedy.
StringResponse make_error(const StringRequest& request,
                          http::status status,
                          const std::string& error,
                          const std::string& remedy,
                          const std::string& outcome = "");

/// \return the response to a request that is not valid; it ends the connection.
StringResponse make_fault(const StringRequest& request, const RequestFault& fault);

/// Waits for the result of a proposal.
/// \param command must outlive the call. It is a reference to a named variable of the caller,
/// because g++ 12 destroys aggregate temporaries inside a co_await expression twice.
awaitable<Result<ApplyResult>> propose(EntryContext& context, const Command& command);

} // namespace lovagehold
