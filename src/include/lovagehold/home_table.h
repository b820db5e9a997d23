#pragma once

#include "lovagehold/types.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagehold {

/// The homes of all services as select_homes() gives them, kept over changes of the hosts so that
/// only services whose homes change are ranked again. Not thread-safe.
class HomeTable
{
public:
  /// \param count homes of each service
  explicit HomeTable(std::size_t count);

  /// Takes up the live hosts.
  void set_hosts(const std::vector<HostInfo>& hosts);

  /// \return homes of the service; valid until the next call.
  const std::vector<HostInfo>& homes(const ServiceName& service);

private:
  bool changed(const ServiceName& service,
               const std::vector<HostInfo>& homes,
               const std::vector<HostInfo>& joined,
               const std::set<HostId>& left) const;

  std::size_t m_count;
  std::vector<HostInfo> m_hosts;
  std::unordered_map<ServiceName, std::vector<HostInfo>> m_homes;
};

} // namespace lovagehold
