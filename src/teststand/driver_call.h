#pragma once

#include "address_cache.h"
#include "driver_report.h"

#include <deque>

namespace lovagehold {

/// Kept connections of the driver, by address. Single-threaded.
class CallerPool
{
public:
  /// \return an idle connection or null.
  std::shared_ptr<beast::tcp_stream> take(const std::string& address);
  void put(const std::string& address, std::shared_ptr<beast::tcp_stream> stream);

private:
  std::map<std::string, std::deque<std::shared_ptr<beast::tcp_stream>>> m_idle;
};

/// What a request consists of.
struct CallPlan
{
  const StreamOptions* stream = nullptr;
  std::string id;
  std::string key;
  /// Seed of the body's bytes.
  std::string content_seed;
  std::uint64_t body_bytes = 0;
};

/// Sends the request, at the next address after failures that allow it, and checks the response.
awaitable<CallRecord> run_call(const DriverOptions& options,
                               AddressBook& book,
                               CallerPool& pool,
                               CallPlan plan);

} // namespace lovagehold
