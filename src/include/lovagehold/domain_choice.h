#pragma once

#include "lovagehold/domain_overflow.h"

#include <random>

namespace lovagehold {

/// The shares of one service's requests that leave a host's failure domain, as the host received
/// them, and the requests that it counts for its reports. Time and randomness are arguments. Not
/// thread-safe.
class DomainChoice
{
public:
  /// Shares older than this are not used.
  static constexpr std::chrono::milliseconds kMaxAge{ 3000 };

  /// \param shares of the service; if they don't cover the home, there are none from now on
  /// \param home failure domain of this host
  /// \param as_of when the shares were decided
  void set(const ServiceShares& shares, const std::string& home, TimePoint as_of);

  /// \return whether there are shares that were decided within kMaxAge
  bool is_fresh(TimePoint now) const { return m_as_of && now - *m_as_of < kMaxAge; }

  /// Uses the random numbers only if a share is above 0.
  /// \return the failure domain for a request: the home or one with a share
  std::string draw(std::mt19937_64& random) const;

  /// \return whether requests may go to the failure domain if the drawn one has no room: to the
  /// home, to one with a share or with spare capacity, and to one that the decision doesn't cover
  bool permits(const std::string& domain) const;

  /// \return whether the failure domain takes requests of this host's domain
  bool sends_to(const std::string& domain) const
  {
    return m_leaving.count(domain) > 0 || m_spare.count(domain) > 0;
  }

  /// Counts a load report of a server.
  void add_report(const std::string& domain, double busy);

  /// \return moving average of the requests at a server of the domain; 0 before the first report
  double mean_busy(const std::string& domain) const;

  /// Counts an attempt that has ended.
  /// \param judged whether its end says something about the way to the server
  void add_attempt(const std::string& domain, Duration elapsed, bool judged, bool failed);

  /// Counts bytes of a body, of a request or a response.
  void add_bytes(std::size_t bytes) { m_bytes += static_cast<double>(bytes); }

  /// \return demand, requests, bytes and attempts since the last call, per second; empty at the
  /// first call
  DomainServiceLoad take_traffic(TimePoint now);

  /// \return attempts since the start, by failure domain
  const std::map<std::string, std::uint64_t>& attempts() const { return m_total; }

private:
  std::string m_home;
  std::vector<std::string> m_domains;
  std::map<std::string, double> m_leaving;
  std::set<std::string> m_spare;
  std::optional<TimePoint> m_as_of;
  std::map<std::string, double> m_mean_busy;
  std::map<std::string, std::uint64_t> m_total;
  // Since m_taken_at.
  std::map<std::string, DomainAttempts> m_attempts;
  double m_seconds = 0;
  double m_requests = 0;
  double m_bytes = 0;
  std::optional<TimePoint> m_taken_at;
};

} // namespace lovagehold
