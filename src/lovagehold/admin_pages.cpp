#include "admin_pages.h"

#include "libstate/config_json.h"
#include "libstate/json_fields.h"
#include "lovagehold/config_parser.h"

namespace lovagehold {

namespace {

using nlohmann::json;

// Replaces invalid UTF-8, which operators' data may contain, instead of failing to render the page.
std::string
dump(const json& page)
{
  return page.dump(-1, ' ', false, json::error_handler_t::replace);
}

const char*
to_string(ClaimStatus status)
{
  switch (status) {
    case ClaimStatus::Done:
      return "done";
    case ClaimStatus::InProgress:
      return "in-progress";
    default:
      return "unknown";
  }
}

} // namespace

AdminResponse
make_status_page(const StatusInput& input, const StateMachine& state)
{
  json services = json::object();
  for (const auto& [name, share, stats] : input.services) {
    services[name] = { { "share", share },
                       { "queued_urgent", stats.queued_urgent },
                       { "queued_patient", stats.queued_patient },
                       { "in_flight", stats.in_flight },
                       { "servers", stats.servers },
                       { "eligible_servers", stats.eligible_servers } };
  }
  const ClaimUsage claims = state.claim_usage();
  const json page = {
    { "host", input.host },
    { "revision", state.configuration()->revision },
    { "applied", state.applied_index() },
    { "ready", input.ready },
    { "stale", input.stale },
    { "hosts", state.hosts() },
    { "services", services },
    { "claims",
      { { "entries", claims.entries }, { "open", claims.open }, { "bytes", claims.bytes } } }
  };
  return { .body = dump(page) };
}

AdminResponse
make_changes_page(const StateMachine& state)
{
  json changes = json::array();
  for (const ChangeRecord& change : state.changes()) {
    changes.push_back({ { "number", change.number },
                        { "revision", change.revision },
                        { "file", change.file_name },
                        { "content", change.content } });
  }
  json page = { { "revision", state.configuration()->revision },
                { "next_free_number", state.next_free_number() },
                { "folded_through", nullptr },
                { "folded", json::array() },
                { "changes", changes } };
  if (const auto folded = state.folded_through()) {
    page["folded_through"] = *folded;
    for (const FoldedChange& change : state.folded_changes()) {
      page["folded"].push_back({ { "number", change.number },
                                 { "file", change.file_name },
                                 { "hash", change.content_hash } });
    }
  }
  return { .body = dump(page) };
}

AdminResponse
make_config_page(const StateMachine& state, const std::string& query)
{
  const std::string service = query_value(query, "service");
  const auto configuration = state.configuration();
  json services = json::object();
  for (const auto& [name, declaration] : configuration->services) {
    if (service.empty() || service == name) {
      services[name] = declaration;
      const auto origins = state.origins().find(name);
      services[name]["origins"] =
        origins == state.origins().end() ? std::map<std::string, std::string>() : origins->second;
    }
  }
  if (!service.empty() && services.empty()) {
    return make_admin_error({ .kind = ErrorKind::NotFound,
                              .message = "no service '" + service + "' is declared",
                              .remedy = "list the services with lovagectl show" });
  }
  return { .body = dump({ { "revision", configuration->revision }, { "services", services } }) };
}

AdminResponse
make_key_page(const StateMachine& state, const std::string& query)
{
  const std::string service = query_value(query, "service");
  const std::string key = query_value(query, "key");
  const auto status = state.key_status(service, key);
  if (!status) {
    return make_admin_error({ .kind = ErrorKind::NotFound,
                              .message = "key '" + key + "' of service '" + service +
                                         "' is not claimed: it never ran, or its retention is over",
                              .remedy = "check the service and the key" });
  }
  json page = { { "service", service },
                { "key", key },
                { "outcome", to_string(status->status) },
                { "attempt", status->attempt } };
  if (status->stored_response) {
    page["status"] = status->stored_response->status;
    page["content_type"] = status->stored_response->content_type;
    page["body_bytes"] = status->stored_response->body.size();
    page["truncated"] = status->stored_response->truncated;
  }
  return { .body = dump(page) };
}

Result<SubmitChange>
parse_change(const AdminRequest& request)
{
  SubmitChange change;
  try {
    const json fields = json::parse(request.body);
    fields.at("file").get_to(change.file_name);
    fields.at("content").get_to(change.content);
  } catch (const std::exception& exception) {
    return Error{ .kind = ErrorKind::InvalidArgument,
                  .message = exception.what(),
                  .remedy = "send JSON with file and content" };
  }
  BOOST_OUTCOME_TRY(number, change_number(change.file_name));
  change.number = number;
  return change;
}

AdminResponse
make_change_response(const Result<ApplyResult>& result)
{
  if (result.has_error()) {
    return make_admin_error(result.error());
  }
  const ApplyResult& applied = result.value();
  if (!applied.error) {
    return { .body = dump({ { "revision", applied.revision } }) };
  }
  AdminResponse response = make_admin_error(*applied.error);
  if (applied.error->kind == ErrorKind::Conflict) {
    json body = json::parse(response.body);
    body["winner"] = applied.winner_file;
    body["winner_revision"] = applied.revision;
    body["next_free_number"] = applied.next_free_number;
    response.body = dump(body);
  }
  return response;
}

AdminResponse
make_admin_error(const Error& error)
{
  const unsigned status = error.kind == ErrorKind::Conflict          ? 409
                          : error.kind == ErrorKind::InvalidArgument ? 400
                          : error.kind == ErrorKind::NotFound        ? 404
                                                                     : 503;
  return { .status = status,
           .body = dump({ { "kind", lovagehold::to_string(error.kind) },
                          { "error", error.message },
                          { "remedy", error.remedy } }) };
}

std::optional<AdminResponse>
make_state_page(const AdminRequest& request, const StateMachine& state)
{
  if (request.method != "GET") {
    return std::nullopt;
  }
  if (request.path == "/config/changes") {
    return make_changes_page(state);
  }
  if (request.path == "/config/show") {
    return make_config_page(state, request.query);
  }
  if (request.path == "/keys") {
    return make_key_page(state, request.query);
  }
  return std::nullopt;
}

} // namespace lovagehold
