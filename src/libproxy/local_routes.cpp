#include "local_routes.h"

#include "libstate/json_fields.h"
#include "libstate/untrusted_json.h"
#include "lovagehold/address.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <limits>

namespace lovagehold {

namespace {

using nlohmann::json;

// Limits of the numbers in an announcement, far above those of any server.
constexpr std::uint64_t kMaxSlots = 1'000'000;
constexpr std::uint64_t kMaxWarmupMs = 86'400'000;

StringResponse
make_json_response(const StringRequest& request, http::status status, const json& body)
{
  StringResponse response(status, request.version());
  response.keep_alive(request.keep_alive());
  response.set(http::field::content_type, "application/json");
  // Texts from a request may not be valid UTF-8.
  response.body() = body.dump(-1, ' ', false, json::error_handler_t::replace);
  response.prepare_payload();
  return response;
}

std::string
query_value(const std::string& target, const std::string& name)
{
  const std::size_t query = target.find('?');
  std::size_t at = query;
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    if (pair.compare(0, name.size() + 1, name + "=") == 0) {
      return pair.substr(name.size() + 1);
    }
    at = end;
  }
  return "";
}

StringResponse
answer_where(EntryContext& context, const StringRequest& request)
{
  const std::string service = query_value(std::string(request.target()), "service");
  const auto view = context.view();
  const auto route = view->routes.find(service);
  if (route == view->routes.end()) {
    return make_error_response(request,
                               http::status::not_found,
                               "service '" + service + "' is not declared",
                               "add it to the declaration folder and run lovagectl apply");
  }
  json addresses = json::array();
  for (const HostInfo& home : route->second.homes) {
    addresses.push_back(home.caller_address);
  }
  if (addresses.empty()) {
    return make_error_response(request,
                               http::status::service_unavailable,
                               "no entry host serves '" + service + "' now",
                               "ask again in a second");
  }
  return make_json_response(request,
                            http::status::ok,
                            { { "service", service },
                              { "addresses", addresses },
                              { "keep_seconds", context.options.address_lifetime.count() } });
}

// Forwards a renewal to the owner of the service, which may be this host.
void
forward_renewal(EntryContext& context, const ServerInfo& server)
{
  const auto view = context.view();
  const auto route = view->routes.find(server.service);
  if (route == view->routes.end() || route->second.homes.empty()) {
    return;
  }
  const HostInfo& owner = route->second.homes.front();
  const ServerRenewal renewal{ .service = server.service,
                               .id = server.id,
                               .incarnation = server.incarnation };
  if (owner.id == context.options.self) {
    context.table.renew_server(renewal, Clock::now());
    return;
  }
  context.ports.send_renewal(owner, renewal);
}

bool
has_joined(const EntryContext& context, const ServerInfo& server)
{
  const auto view = context.view();
  const auto route = view->routes.find(server.service);
  if (route == view->routes.end()) {
    return false;
  }
  const auto& servers = route->second.servers;
  return std::find(servers.begin(), servers.end(), server) != servers.end();
}

// Checks what would otherwise be truncated or fail when requests are sent.
// \throws std::exception if the announcement is invalid
ServerInfo
read_announcement(const std::string& body)
{
  const json fields = parse_untrusted_json(body);
  const std::initializer_list<std::pair<const char*, std::uint64_t>> limits = {
    { "slots", kMaxSlots },
    { "connections", kMaxSlots },
    { "incarnation", std::numeric_limits<std::uint64_t>::max() - 1 },
    { "warmup_ms", kMaxWarmupMs }
  };
  for (const auto& [name, limit] : limits) {
    const auto found = fields.is_object() ? fields.find(name) : fields.end();
    const bool valid = found == fields.end() ||
                       (found->is_number_unsigned() && found->get<std::uint64_t>() <= limit);
    if (!valid) {
      throw std::invalid_argument(std::string("'") + name + "' is not a whole number from 0 to " +
                                  std::to_string(limit));
    }
  }
  auto server = fields.get<ServerInfo>();
  if (!parse_endpoint(server.address)) {
    throw std::invalid_argument("'address' is not an IP:port address: " + server.address);
  }
  return server;
}

awaitable<StringResponse>
answer_announce(EntryContext& context, const StringRequest& request)
{
  ServerInfo server;
  try {
    server = read_announcement(request.body());
  } catch (const std::exception& exception) {
    co_return make_error_response(
      request,
      http::status::bad_request,
      std::string("announcement is not valid: ") + exception.what(),
      "send JSON with service, id, address, slots, connections, incarnation");
  }
  if (!has_joined(context, server)) {
    const Command join = JoinServer{ server };
    const Result<ApplyResult> joined = co_await propose(context, join);
    if (joined.has_error() || !joined.value().accepted) {
      const Error error = joined.has_error() ? joined.error() : *joined.value().error;
      co_return make_error_response(
        request, http::status::service_unavailable, error.message, error.remedy);
    }
  }
  forward_renewal(context, server);
  co_return make_json_response(request, http::status::ok, { { "renew_ms", 1000 } });
}

awaitable<StringResponse>
answer_leave(EntryContext& context, const StringRequest& request, const std::string& id)
{
  const std::string target(request.target());
  LeaveServer leave{ .service = query_value(target, "service"), .id = id };
  const std::string incarnation = query_value(target, "incarnation");
  leave.incarnation = std::numeric_limits<std::uint64_t>::max();
  const char* end = incarnation.data() + incarnation.size();
  const auto parsed = std::from_chars(incarnation.data(), end, leave.incarnation);
  if (!incarnation.empty() && (parsed.ec != std::errc() || parsed.ptr != end)) {
    co_return make_error_response(request,
                                  http::status::bad_request,
                                  "incarnation '" + incarnation + "' is not a 64-bit number",
                                  "send the incarnation that the server announced, or none");
  }
  const Command command = leave;
  const Result<ApplyResult> result = co_await propose(context, command);
  if (result.has_error()) {
    co_return make_error_response(
      request, http::status::service_unavailable, result.error().message, result.error().remedy);
  }
  co_return make_json_response(request, http::status::ok, { { "left", id } });
}

// Result that a callback delivers on another thread and a coroutine waits for.
template<class T>
class CallbackResult : public std::enable_shared_from_this<CallbackResult<T>>
{
public:
  explicit CallbackResult(const asio::any_io_executor& executor)
    : m_signal(executor, TimePoint::max())
  {
  }

  void deliver(T result)
  {
    asio::post(m_signal.get_executor(),
               [self = this->shared_from_this(), result = std::move(result)]() mutable {
                 self->m_result.emplace(std::move(result));
                 self->m_signal.cancel();
               });
  }

  awaitable<T> wait()
  {
    while (!m_result) {
      boost::system::error_code ignored;
      co_await m_signal.async_wait(capture(ignored));
    }
    co_return std::move(*m_result);
  }

private:
  asio::steady_timer m_signal;
  std::optional<T> m_result;
};

awaitable<StringResponse>
answer_key(EntryContext& context, const StringRequest& request, const std::string& path)
{
  const std::size_t slash = path.find('/');
  const std::string service = path.substr(0, slash);
  const std::string key = slash == std::string::npos ? "" : path.substr(slash + 1);
  const auto executor = co_await asio::this_coro::executor;
  const auto result = std::make_shared<CallbackResult<std::optional<KeyStatus>>>(executor);
  context.ports.key_status(service, key, [result](std::optional<KeyStatus> status) {
    result->deliver(std::move(status));
  });
  const auto status = co_await result->wait();
  if (!status) {
    // A claim may be committed but not yet applied on this host, so that this doesn't prove that
    // the request did not run.
    co_return make_error_response(
      request,
      http::status::not_found,
      "no claim on the key is known on this host",
      "send the request again under the same key; it runs at most once");
  }
  json body = { { "key", key }, { "outcome", "in-progress" } };
  if (status->status == ClaimStatus::Done) {
    body["outcome"] = "done";
    body["status"] = status->stored_response ? status->stored_response->status : 0;
  } else if (status->status == ClaimStatus::Unknown) {
    body["outcome"] = "unknown";
  }
  co_return make_json_response(request, http::status::ok, body);
}

} // namespace

StringResponse
make_error_response(const StringRequest& request,
                    http::status status,
                    const std::string& error,
                    const std::string& remedy,
                    const std::string& outcome)
{
  StringResponse response =
    make_json_response(request, status, { { "error", error }, { "remedy", remedy } });
  if (!outcome.empty()) {
    response.set(kOutcomeHeader, outcome);
  }
  return response;
}

StringResponse
make_fault_response(const StringRequest& request, const RequestFault& fault)
{
  StringResponse response =
    make_error_response(request, fault.status, fault.error, fault.remedy, "not-run");
  response.keep_alive(false);
  return response;
}

awaitable<Result<ApplyResult>>
propose(EntryContext& context, const Command& command)
{
  const auto executor = co_await asio::this_coro::executor;
  const auto wait = std::make_shared<CallbackResult<Result<ApplyResult>>>(executor);
  context.ports.propose(command,
                        [wait](Result<ApplyResult> result) { wait->deliver(std::move(result)); });
  Result<ApplyResult> result = co_await wait->wait();
  co_return result;
}

awaitable<StringResponse>
answer_local(EntryContext& context, const StringRequest& request)
{
  const std::string target(request.target());
  const std::string path =
    target.substr(sizeof kLocalPrefix - 1, target.find('?') - (sizeof kLocalPrefix - 1));
  if (path == "where" && request.method() == http::verb::get) {
    co_return answer_where(context, request);
  }
  if (path == "servers" && request.method() == http::verb::post) {
    co_return co_await answer_announce(context, request);
  }
  if (path.rfind("servers/", 0) == 0 && request.method() == http::verb::delete_) {
    co_return co_await answer_leave(context, request, path.substr(8));
  }
  if (path.rfind("keys/", 0) == 0 && request.method() == http::verb::get) {
    co_return co_await answer_key(context, request, path.substr(5));
  }
  co_return make_error_response(request,
                                http::status::not_found,
                                "no such resource",
                                "see the operators' guide for the paths under /.lovagehold/");
}

} // namespace lovagehold
