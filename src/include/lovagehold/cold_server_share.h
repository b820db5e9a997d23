#pragma once

#include "lovagehold/shared_credit.h"

#include <functional>
#include <map>

namespace lovagehold {

struct ColdServerShareOptions
{
  /// Requests per second that a cold server takes from all hosts together.
  double rate = 0;
  /// Requests to a cold server, summed over all hosts, that a full credit admits. With a rate
  /// of 1.6 per second, hosts that all use it in the same second send 2.85 on average, and more
  /// than 10 with a probability of 2e-4.
  double depth = 1.25;
  /// Number of hosts that send requests.
  std::size_t hosts = 1;

  bool operator==(const ColdServerShareOptions&) const = default;
};

/// This host's share of the requests that the cold servers of one service take. Each server has a
/// credit of its own: the credit of servers that can't be used must not go to the others. The
/// credit exists while the server is listed, whether it is cold or warm, so that a server that
/// turns cold again and again is not given a full one each time. Not thread-safe.
class ColdServerShare
{
public:
  /// Changes the rate and the number of hosts from \p now on.
  void configure(const ColdServerShareOptions& options, TimePoint now);

  /// \return whether cold servers take a limited number of requests; otherwise nothing is kept
  bool is_enabled() const { return m_options.rate > 0; }

  /// Adds a server with a full credit; no effect if it is known.
  void add(const ServerId& id, TimePoint now);

  /// Removes the servers for which \p is_listed returns false.
  void retain(const std::function<bool(const ServerId&)>& is_listed);

  /// Asks to send one request to the server.
  /// \return whether it may be sent; false if the server has not been added
  bool take(const ServerId& id, TimePoint now, std::mt19937_64& random);

  /// \return expected number of requests that the full credits of \p servers admit
  double full_credit(std::size_t servers) const
  {
    return static_cast<double>(servers) * m_options.depth * host_part();
  }

  /// \return time in which a credit without requests reaches its upper limit
  Duration refill_time() const;

private:
  double host_part() const { return 1 / static_cast<double>(m_options.hosts); }

  ColdServerShareOptions m_options;
  std::map<ServerId, SharedCredit> m_credits;
};

} // namespace lovagehold
