#include "operator_calls.h"

#include "control_replies.h"

#include <algorithm>
#include <utility>

namespace lovagehold {

namespace {

// How often the difference of a routing configuration is proposed before the whole one is.
constexpr unsigned kMaxRoutingChanges = 3;
// The table that differences are made from distributes no requests.
constexpr std::uint64_t kRoutingSeed = 1;

} // namespace

OperatorCalls::OperatorCalls(SiteProtocol protocol,
                             std::vector<std::string> failure_domains,
                             Replica& replica,
                             ControlClient& client,
                             EventLog& log)
  : m_protocol(std::move(protocol))
  , m_failure_domains(std::move(failure_domains))
  , m_replica(replica)
  , m_client(client)
  , m_log(log)
{
}

void
OperatorCalls::send_reply(const AdminServer::Reply& reply, const ControlReply& content) const
{
  reply(m_protocol.encode_reply(content));
}

const RoutingTable&
OperatorCalls::routing()
{
  const StateMachine& machine = m_replica.machine();
  if (machine.routing_version() == m_routing.version()) {
    return m_routing;
  }
  const Result<void> updated =
    update_routing_table(m_routing, machine, m_protocol.decode_routing, kRoutingSeed);
  if (updated.has_error()) {
    m_log.warn("routing_unreadable",
               { { "version", std::to_string(machine.routing_version()) },
                 { "error", updated.error().message } });
  }
  return m_routing;
}

void
OperatorCalls::handle(const ReadRoutingCall&, const AdminServer::Reply& reply)
{
  confirm_state(m_replica, [this, reply](bool confirmed) {
    const StateMachine& machine = m_replica.machine();
    if (!confirmed) {
      send_reply(
        reply,
        FailedReply{ unavailable("this host can't confirm that its configuration is current") });
    } else if (machine.routing_version() == 0) {
      send_reply(reply, FailedReply{ unavailable("there is no routing configuration yet") });
    } else {
      send_reply(reply, RoutingReply{ .document = machine.routing_document() });
    }
  });
}

void
OperatorCalls::handle(const ReplaceRoutingCall& call, const AdminServer::Reply& reply)
{
  m_log.info("routing_received",
             { { "version", std::to_string(call.config.version) },
               { "held", std::to_string(m_replica.machine().routing_version()) },
               { "bytes", std::to_string(call.document.size()) } });
  propose_routing(std::make_shared<const ReplaceRoutingCall>(call), kMaxRoutingChanges, reply);
}

// Proposes the difference to the version in force. Another version may have been accepted since, or
// the state of this host may be behind; the difference is then made again from the current state.
void
OperatorCalls::propose_routing(const std::shared_ptr<const ReplaceRoutingCall>& call,
                               unsigned attempts,
                               const AdminServer::Reply& reply)
{
  const StateMachine& machine = m_replica.machine();
  const RoutingConfig& config = call->config;
  if (config.version <= machine.routing_version()) {
    send_reply(reply, AcceptedReply{});
    return;
  }
  if (attempts == 0) {
    m_client.propose(
      ReplaceRouting{ .version = config.version, .document = call->document },
      [this, reply](const Result<ApplyResult>& result) {
        if (result.has_error()) {
          send_reply(reply, FailedReply{ unavailable(result.error().message) });
        } else {
          send_reply(reply, AcceptedReply{});
        }
      },
      Clock::now());
    return;
  }
  m_client.propose(
    make_routing_command(routing(), machine, config, call->document),
    [this, call, attempts, reply](const Result<ApplyResult>& result) {
      if (result.has_error()) {
        send_reply(reply, FailedReply{ unavailable(result.error().message) });
      } else if (result.value().accepted) {
        send_reply(reply, AcceptedReply{});
      } else {
        ++m_routing_conflicts;
        confirm_state(m_replica, [this, call, attempts, reply](bool confirmed) {
          propose_routing(call, confirmed ? attempts - 1 : 0, reply);
        });
      }
    },
    Clock::now());
}

// An order that is in force can be withdrawn also if the settings don't name its failure domain any
// more.
std::optional<Error>
OperatorCalls::find_mistake(const EvacuationCall& call) const
{
  const bool known =
    m_failure_domains.empty() ||
    std::count(m_failure_domains.begin(), m_failure_domains.end(), call.failure_domain) > 0;
  if (known || (!call.active && m_replica.machine().evacuations().contains(call.failure_domain))) {
    return std::nullopt;
  }
  std::string names;
  for (const std::string& domain : m_failure_domains) {
    names += (names.empty() ? "" : ", ") + domain;
  }
  return Error{ .kind = ErrorKind::InvalidArgument,
                .message = "'" + call.failure_domain + "' is not a known failure domain",
                .remedy = "use one of " + names };
}

// Always proposes the order, also if it is in force in the state of this host, because that state
// may be behind.
void
OperatorCalls::handle(const EvacuationCall& call, const AdminServer::Reply& reply)
{
  const std::string order = call.active ? "evacuate" : "end";
  if (const auto mistake = find_mistake(call)) {
    m_log.warn("call_rejected", { { "error", mistake->message }, { "remedy", mistake->remedy } });
    send_reply(reply, FailedReply{ *mistake });
    return;
  }
  m_log.info("evacuation_received", { { "domain", call.failure_domain }, { "order", order } });
  m_client.propose(
    EvacuateDomain{ .failure_domain = call.failure_domain, .active = call.active },
    [this, call, order, reply](const Result<ApplyResult>& result) {
      if (result.has_error()) {
        send_reply(reply, FailedReply{ unavailable(result.error().message) });
      } else if (!result.value().accepted) {
        // A leader of an earlier version does not know the command.
        send_reply(reply, FailedReply{ unavailable("the control group did not take the order") });
      } else {
        m_log.info("evacuation_acknowledged",
                   { { "domain", call.failure_domain },
                     { "order", order },
                     { "index", std::to_string(result.value().revision) } });
        send_reply(reply, AcceptedReply{});
      }
    },
    Clock::now());
}

} // namespace lovagehold
