#include "control_host.h"

#include "control_replies.h"

namespace lovagehold {

namespace {

std::string
ip_of(const std::string& address)
{
  return address.substr(0, address.rfind(':'));
}

std::string
port_of(const std::string& address)
{
  return address.substr(address.rfind(':'));
}

} // namespace

// Servers are spread over the control hosts, because a group has one leader but any number of
// servers.
ControlReply
ControlHost::heartbeat_reply(const ServerInfo& server) const
{
  const std::string source =
    select_source(server.id, server.failure_domain, m_replica->running_members());
  const bool is_remote = !source.empty() && source != m_settings.cluster_address;
  return ServerHeartbeatReply{
    .next_address = is_remote ? ip_of(source) + port_of(m_settings.control_address) : ""
  };
}

// The leader keeps the leases of all servers.
void
ControlHost::send_renewals(TimePoint now)
{
  m_renewals_sent_at = now;
  ServerRenewals message;
  for (auto& [id, renewal] : std::exchange(m_renewals, {})) {
    message.renewals.push_back(std::move(renewal));
  }
  const std::string leader = m_replica->status().leader_address;
  if (!message.renewals.empty() && !leader.empty() && leader != m_settings.cluster_address) {
    m_link.send(leader, message);
  }
}

// After a start, the state may lack servers that have joined. Their heartbeats would be taken for
// joins and would fill the log.
void
ControlHost::await_current_state(const HeartbeatCall& call, const AdminServer::Reply& reply)
{
  m_early_heartbeats.emplace_back(call, reply);
  if (m_early_heartbeats.size() > 1) {
    return;
  }
  confirm_state(*m_replica, [this](bool confirmed) {
    m_state_current = m_state_current || confirmed;
    for (const auto& [early_call, early_reply] : std::exchange(m_early_heartbeats, {})) {
      if (confirmed) {
        handle_call(early_call, early_reply);
      } else {
        send_reply(early_reply,
                   FailedReply{ unavailable("this host can't confirm that its state is current") });
      }
    }
  });
}

void
ControlHost::handle_call(const HeartbeatCall& call, const AdminServer::Reply& reply)
{
  const TimePoint now = Clock::now();
  const ServerInfo& server = call.heartbeat.server;
  if (!m_replica->in_contact()) {
    // The server must try a host that is in contact with the group.
    send_reply(reply,
               FailedReply{ unavailable("this host is not in contact with the control group") });
    return;
  }
  if (!m_state_current) {
    await_current_state(call, reply);
    return;
  }
  if (m_replica->machine().has_left(server.service, server.id, server.incarnation)) {
    send_reply(reply, heartbeat_reply(server));
    return;
  }
  const HeartbeatEffect effect = m_registrar.heartbeat(call.heartbeat, servers(), now);
  if (effect == HeartbeatEffect::Warm) {
    renew_warmup(call.heartbeat, now);
  }
  if (effect == HeartbeatEffect::None || effect == HeartbeatEffect::Warm) {
    m_renewals[server.id] = { .service = server.service,
                              .id = server.id,
                              .incarnation = server.incarnation };
    send_reply(reply, heartbeat_reply(server));
    return;
  }
  m_log.info(effect == HeartbeatEffect::Join ? "server_joins" : "server_drains",
             { { "server", server.id },
               { "service", server.service },
               { "address", server.address },
               { "incarnation", std::to_string(server.incarnation) },
               { "sequence", std::to_string(call.heartbeat.sequence) } });
  if (effect == HeartbeatEffect::Leave) {
    leave({ .id = server.id, .incarnation = server.incarnation }, heartbeat_reply(server), reply);
    return;
  }
  for (const ServerInfo& replaced : ServerRegistrar::replaced_by(call.heartbeat, servers())) {
    m_client->propose(
      LeaveServer{
        .service = replaced.service, .id = replaced.id, .incarnation = replaced.incarnation },
      [](const Result<ApplyResult>&) {},
      now);
  }
  propose(JoinServer{ server }, heartbeat_reply(server), reply);
}

// The heartbeat is answered at once: if the update fails, the next heartbeat calls for it again.
void
ControlHost::renew_warmup(const ServerHeartbeat& heartbeat, TimePoint now)
{
  const ServerInfo entry = ServerRegistrar::renewed_entry(heartbeat, servers());
  m_log.info("server_cold",
             { { "server", entry.id },
               { "service", entry.service },
               { "incarnation", std::to_string(entry.incarnation) },
               { "ms", std::to_string(entry.warmup.count()) } });
  m_client->propose(
    JoinServer{ entry },
    [this, id = entry.id](const Result<ApplyResult>& result) {
      if (result.has_error()) {
        m_registrar.forget_warmup(id);
      }
    },
    now);
}

bool
ControlHost::limits_cold_servers(const ServiceName& service)
{
  const auto config = m_operator_calls->routing().service(service);
  return config != nullptr && config->warmup_rate > 0;
}

} // namespace lovagehold
