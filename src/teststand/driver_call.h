#pragma once

#include "address_cache.h"
#include "driver_report.h"

#include <deque>

namespace lovagehold {

/// Pool of idle keep-alive connections by address. Not thread-safe.
class IdleConnections
{
public:
  /// \return an idle connection that is still open, or null.
  std::shared_ptr<beast::tcp_stream> take(const std::string& address);
  void put(const std::string& address, std::shared_ptr<beast::tcp_stream> stream);

private:
  std::map<std::string, std::deque<std::shared_ptr<beast::tcp_stream>>> m_idle;
};

/// Parameters of one request.
struct CallPlan
{
  const StreamOptions* stream = nullptr;
  std::string id;
  std::string key;
  /// Seed for the generated body.
  std::string content_seed;
  std::uint64_t body_bytes = 0;
};

/// Sends the request and checks the response. Retries at the next address after failures that
/// permit it.
awaitable<CallRecord> run_call(const DriverOptions& options,
                               AddressCache& address_cache,
                               IdleConnections& pool,
                               CallPlan plan);

} // namespace lovagehold
