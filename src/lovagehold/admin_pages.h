#pragma once

#include "lovagehold/admin_server.h"
#include "lovagehold/dispatcher.h"
#include "lovagehold/state_machine.h"

#include <functional>

/// Renders the pages of the admin server from typed inputs.
namespace lovagehold {

/// State of a service in this host's dispatcher.
struct ServiceStatus
{
  ServiceName name;
  /// Name of the SlotShare that this host may use.
  std::string share;
  Dispatcher::Stats stats;
};

/// Data about this host for the status page.
struct StatusInput
{
  HostId host;
  /// Whether control has confirmed the host's state.
  bool ready = false;
  /// Whether the host has received no state from control recently.
  bool stale = false;
  std::vector<ServiceStatus> services;
};

/// GET /status
AdminResponse make_status_page(const StatusInput& input, const StateMachine& state);

/// GET /config/changes: the changes that still have their content, by number, and the folded ones,
/// which have only a hash.
AdminResponse make_changes_page(const StateMachine& state);

/// GET /config/show?service=S: the merged configuration and the file that set each value.
/// \param query of the request; without a service all are shown
AdminResponse make_config_page(const StateMachine& state, const std::string& query);

/// GET /keys?service=S&key=K: the outcome of a non-idempotent request.
AdminResponse make_key_page(const StateMachine& state, const std::string& query);

/// \return the change in the body of POST /config/changes, or InvalidArgument
Result<SubmitChange> parse_change(const AdminRequest& request);

/// Response to POST /config/changes.
AdminResponse make_change_response(const Result<ApplyResult>& result);

AdminResponse make_admin_error(const Error& error);

/// Answers requests for the pages that only read the state.
/// \return nothing if the request is for another page
std::optional<AdminResponse> make_state_page(const AdminRequest& request,
                                             const StateMachine& state);

} // namespace lovagehold
