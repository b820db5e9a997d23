#pragma once

#include "lovagehold/types.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagehold {

/// Cache of the results of select_homes() for all services. A change of the hosts invalidates only
/// the services whose homes it may change. Not thread-safe.
class HomeTable
{
public:
  /// \param count number of homes of each service
  explicit HomeTable(std::size_t count);

  /// Replaces the live hosts and drops the cached homes that may change.
  void set_hosts(const std::vector<HostInfo>& hosts);

  /// \return homes of the service; valid until the next call.
  const std::vector<HostInfo>& homes(const ServiceName& service);

private:
  /// \return whether a change of the hosts may change the homes of the service
  bool may_change(const ServiceName& service,
                  const std::vector<HostInfo>& homes,
                  const std::vector<HostInfo>& joined,
                  const std::set<HostId>& left) const;

  std::size_t m_count;
  std::vector<HostInfo> m_hosts;
  std::unordered_map<ServiceName, std::vector<HostInfo>> m_homes;
};

} // namespace lovagehold
