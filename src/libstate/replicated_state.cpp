#include "lovagehold/replicated_state.h"

#include "document_codec.h"
#include "json_fields.h"

namespace lovagehold {

using nlohmann::json;

Bytes
encode(const Proposal& proposal)
{
  return json::to_cbor(json::array(
    { proposal.client, proposal.id, proposal.lowest_pending, json::binary(proposal.command) }));
}

Result<Proposal>
decode_proposal(const Bytes& bytes)
{
  try {
    const json fields = json::from_cbor(bytes);
    return Proposal{ .client = fields.at(0),
                     .id = fields.at(1),
                     .lowest_pending = fields.at(2),
                     .command = fields.at(3).get_binary() };
  } catch (const std::exception& exception) {
    return Error{ .kind = ErrorKind::Protocol,
                  .message = std::string("not a proposal: ") + exception.what(),
                  .remedy = "check that all hosts run compatible versions" };
  }
}

ReplicatedState::ReplicatedState(ReplicatedStateOptions options)
  : m_options(options)
  , m_machine(options.machine)
{
}

ReplicatedState::Session&
ReplicatedState::touch(std::uint64_t client, std::uint64_t index)
{
  Session& session = m_sessions[client];
  m_clients_by_last_index.erase(session.last_index);
  session.last_index = index;
  m_clients_by_last_index[index] = client;
  if (m_sessions.size() > m_options.max_clients) {
    m_sessions.erase(m_clients_by_last_index.begin()->second);
    m_clients_by_last_index.erase(m_clients_by_last_index.begin());
  }
  return session;
}

std::optional<ReplicatedState::Applied>
ReplicatedState::apply(std::uint64_t index, const Bytes& payload)
{
  if (index <= applied_index()) {
    return std::nullopt;
  }
  const Result<Proposal> decoded =
    payload.empty() ? Result<Proposal>(Proposal()) : decode_proposal(payload);
  if (payload.empty() || decoded.has_error()) {
    m_machine.skip(index);
    return std::nullopt;
  }
  const Proposal& proposal = decoded.value();
  Session& session = touch(proposal.client, index);
  session.lowest_pending = std::max(session.lowest_pending, proposal.lowest_pending);
  session.results.erase(session.results.begin(),
                        session.results.lower_bound(session.lowest_pending));
  const auto known = session.results.find(proposal.id);
  if (proposal.id < session.lowest_pending || known != session.results.end()) {
    m_machine.skip(index);
    return known == session.results.end()
             ? std::nullopt
             : std::optional(Applied{ proposal.client, proposal.id, known->second });
  }
  ApplyResult result;
  const Result<Command> command = decode_command(proposal.command);
  if (command.has_value()) {
    result = m_machine.apply(index, command.value());
  } else {
    m_machine.skip(index);
    result.error = command.error();
  }
  session.results[proposal.id] = result;
  return Applied{ proposal.client, proposal.id, std::move(result) };
}

const ApplyResult*
ReplicatedState::find_result(std::uint64_t client, std::uint64_t id) const
{
  const auto session = m_sessions.find(client);
  if (session == m_sessions.end()) {
    return nullptr;
  }
  const auto result = session->second.results.find(id);
  return result == session->second.results.end() ? nullptr : &result->second;
}

Bytes
ReplicatedState::snapshot() const
{
  json sessions = json::array();
  for (const auto& [client, session] : m_sessions) {
    json results = json::array();
    for (const auto& [id, result] : session.results) {
      results.push_back(json::array({ id, result }));
    }
    sessions.push_back({ client, session.lowest_pending, session.last_index, std::move(results) });
  }
  const Bytes plain =
    json::to_cbor(json::array({ json::binary(m_machine.snapshot()), std::move(sessions) }));
  return pack_document({ reinterpret_cast<const char*>(plain.data()), plain.size() });
}

Result<void>
ReplicatedState::restore(const Bytes& snapshot)
{
  std::map<std::uint64_t, Session> sessions;
  std::map<std::uint64_t, std::uint64_t> clients_by_last_index;
  try {
    const json document = json::from_cbor(unpack_document(snapshot));
    for (const json& fields : document.at(1)) {
      Session session{ .lowest_pending = fields.at(1), .last_index = fields.at(2) };
      for (const json& result : fields.at(3)) {
        session.results[result.at(0).get<std::uint64_t>()] = result.at(1).get<ApplyResult>();
      }
      clients_by_last_index[session.last_index] = fields.at(0).get<std::uint64_t>();
      sessions[fields.at(0).get<std::uint64_t>()] = std::move(session);
    }
    BOOST_OUTCOME_TRYV(m_machine.restore(document.at(0).get_binary()));
  } catch (const std::exception& exception) {
    return Error{ .kind = ErrorKind::Protocol,
                  .message = std::string("not a snapshot: ") + exception.what(),
                  .remedy = "fetch the snapshot again" };
  }
  m_sessions = std::move(sessions);
  m_clients_by_last_index = std::move(clients_by_last_index);
  return boost::outcome_v2::success();
}

} // namespace lovagehold
