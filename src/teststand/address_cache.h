#pragma once

#include "driver_options.h"
#include "libproxy/http_types.h"

#include <map>

namespace lovagehold {

/// Addresses of services as returned by an entry host, cached for the time that the host specifies.
class AddressCache
{
public:
  explicit AddressCache(const DriverOptions& options);

  /// \return the addresses of the service; empty if no entry host returns any.
  awaitable<std::vector<std::string>> find(std::string service);

  /// Discards the cached addresses, so that the next find() queries an entry host.
  void invalidate(const std::string& service) { m_cached.erase(service); }

private:
  struct Cached
  {
    std::vector<std::string> addresses;
    TimePoint valid_until;
  };

  awaitable<bool> query_entry(std::string entry, std::string service);

  const DriverOptions& m_options;
  std::map<std::string, Cached> m_cached;
};

} // namespace lovagehold
