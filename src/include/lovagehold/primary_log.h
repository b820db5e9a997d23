#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/state_machine.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace lovagehold {

struct PrimaryLogOptions
{
  HostId self;
  /// All control hosts by id; the first is the primary.
  std::vector<std::pair<HostId, std::string>> members;
  std::string data_folder;
};

/// Replicates commands from a fixed primary: an entry is committed once a majority of the control
/// hosts has synced it. Has no election; the consensus package takes its place. Not thread-safe.
class PrimaryLog
{
public:
  using Send = std::function<void(const std::string& address, const ClusterMessage&)>;

  PrimaryLog(PrimaryLogOptions options, Send send);
  ~PrimaryLog();

  /// Reads the log file and applies it.
  Result<void> open();

  /// Handles Propose, Subscribe, Append and AppendAck; ignores the rest.
  void receive(const std::string& from, const ClusterMessage& message);

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace lovagehold
