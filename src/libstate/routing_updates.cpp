#include "lovagehold/routing_updates.h"

namespace lovagehold {

namespace {

// A change that has more than one in this many of the routes, or inserts more than one in this many
// of the bytes of the document, is sent as a whole document, which compresses well.
constexpr std::size_t kWholeDivisor = 4;
// Changes of small documents are sent as such whatever they change.
constexpr std::size_t kSmallDocumentBytes = 4096;

} // namespace

Result<RoutingUpdate>
find_routing_update(const StateMachine& state, std::uint64_t version, const DecodeRouting& decode)
{
  if (auto changes = state.routing_changes_since(version)) {
    return RoutingUpdate{ .changes = std::move(*changes) };
  }
  BOOST_OUTCOME_TRY(config, decode(state.routing_document()));
  return RoutingUpdate{ .config = std::move(config) };
}

Result<void>
update_routing_table(RoutingTable& table,
                     const StateMachine& state,
                     const DecodeRouting& decode,
                     std::uint64_t seed)
{
  BOOST_OUTCOME_TRY(update, find_routing_update(state, table.version(), decode));
  if (update.config) {
    table = RoutingTable(*update.config, seed);
  }
  for (const auto& change : update.changes) {
    table.apply(*change);
  }
  return boost::outcome_v2::success();
}

Command
make_routing_command(const RoutingTable& table,
                     const StateMachine& state,
                     const RoutingConfig& config,
                     const std::string& document)
{
  if (table.version() == 0 || table.version() != state.routing_version()) {
    return ReplaceRouting{ .version = config.version, .document = document };
  }
  ChangeRouting command{ .change = table.difference_to(config),
                         .document = make_patch(state.routing_document(), document) };
  const bool small_document = document.size() <= kSmallDocumentBytes;
  const bool small_change = command.change.size() <= table.size() / kWholeDivisor &&
                            command.document.inserted_bytes() <= document.size() / kWholeDivisor;
  if (small_document || small_change) {
    return command;
  }
  return ReplaceRouting{ .version = config.version, .document = document };
}

} // namespace lovagehold
