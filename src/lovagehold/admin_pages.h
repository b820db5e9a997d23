#pragma once

#include "lovagehold/admin_server.h"
#include "lovagehold/dispatcher.h"
#include "lovagehold/state_machine.h"

#include <functional>

/// The pages of the admin address, as functions of typed inputs.
namespace lovagehold {

/// A service as this host's dispatcher has it.
struct ServiceStatus
{
  ServiceName name;
  /// Name of the share of the slots that this host may use.
  std::string share;
  Dispatcher::Stats stats;
};

/// What the status page tells about this host.
struct StatusInput
{
  HostId host;
  /// Whether the host has a state confirmed by control.
  bool ready = false;
  /// Whether control has not been heard from recently.
  bool stale = false;
  std::vector<ServiceStatus> services;
};

/// GET /status
AdminResponse make_status_page(const StatusInput& input, const StateMachine& state);

/// GET /config/changes: the changes that still have their content, by number.
AdminResponse make_history_page(const StateMachine& state);

/// GET /config/show?service=S: the merged configuration and the file that set each value.
/// \param query of the request; without a service all are shown
AdminResponse make_config_page(const StateMachine& state, const std::string& query);

/// GET /keys?service=S&key=K: the outcome of a non-idempotent request.
AdminResponse make_key_page(const StateMachine& state, const std::string& query);

/// \return the change that POST /config/changes asks for, or InvalidArgument.
Result<SubmitChange> parse_change(const AdminRequest& request);

/// Answer to POST /config/changes.
AdminResponse make_change_response(const Result<ApplyResult>& result);

AdminResponse make_admin_error(const Error& error);

/// Answers the pages that only read the state. \return nothing if the path is none of them.
std::optional<AdminResponse> make_state_page(const AdminRequest& request,
                                             const StateMachine& state);

} // namespace lovagehold
