#pragma once

#include "driver_options.h"
#include "libproxy/http_types.h"

#include <map>

namespace lovagehold {

/// The addresses of services as an entry host names them, cached for the time it states.
class AddressBook
{
public:
  explicit AddressBook(const DriverOptions& options);

  /// \return the addresses of the service; empty if no entry host names any.
  awaitable<std::vector<std::string>> find(std::string service);

  /// Asks again at the next call of find.
  void forget(const std::string& service) { m_cached.erase(service); }

private:
  struct Cached
  {
    std::vector<std::string> addresses;
    TimePoint valid_until;
  };

  awaitable<bool> ask(std::string entry, std::string service);

  const DriverOptions& m_options;
  std::map<std::string, Cached> m_cached;
};

} // namespace lovagehold
