#pragma once

#include "lovagehold/routing_table.h"
#include "lovagehold/state_machine.h"

#include <functional>

namespace lovagehold {

/// Decodes an operator's document that was accepted earlier.
using DecodeRouting = std::function<Result<RoutingConfig>(const std::string& document)>;

/// How a host gets from one version of the routing configuration to the one of the replicated
/// state: by the changes in between, or by the whole configuration.
struct RoutingUpdate
{
  /// Empty if the version is in force already.
  RoutingChanges changes;
  /// Set if the changes are not known.
  std::optional<RoutingConfig> config;
};

/// \param version the version that the host has; 0 if it has none
/// \param decode called only if the changes since \p version are not known
/// \return the update, or the error of \p decode
Result<RoutingUpdate> find_routing_update(const StateMachine& state,
                                          std::uint64_t version,
                                          const DecodeRouting& decode);

/// Brings the table up to the version of the state.
/// \param seed for a new table, see RoutingTable
/// \return the error of \p decode; the table is then unchanged
Result<void> update_routing_table(RoutingTable& table,
                                  const StateMachine& state,
                                  const DecodeRouting& decode,
                                  std::uint64_t seed);

/// \param table a table with the routing configuration of the state
/// \param config the operator's new configuration, decoded from \p document
/// \return the smaller one of a command that changes the configuration of the state and one that
/// replaces it
Command make_routing_command(const RoutingTable& table,
                             const StateMachine& state,
                             const RoutingConfig& config,
                             const std::string& document);

} // namespace lovagehold
