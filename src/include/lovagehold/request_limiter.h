#pragma once

#include "lovagehold/types.h"

#include <map>
#include <string>
#include <vector>

namespace lovagehold {

/// A server that names a limit, as the host that wants to send it a request knows it.
struct LimitedServer
{
  ServerId id;
  std::uint64_t incarnation = 0;
  /// Requests per second from all hosts together; 0 if the server wants none.
  double limit = 0;
  /// Time since the server last named the limit.
  std::chrono::milliseconds age{ 0 };
};

/// Asks for one request to one of several limited servers of a service.
struct PermitQuery
{
  ServiceName service;
  /// In order of preference.
  std::vector<LimitedServer> candidates;
  /// Longest time that the request may wait for its permit.
  std::chrono::milliseconds max_wait{ 0 };
};

/// Answer to a PermitQuery.
struct PermitAnswer
{
  /// Server to which one request may be sent; empty if none is permitted.
  ServerId server;
  /// Time to wait before the request is sent or, without a permit, before it makes sense to ask
  /// again.
  std::chrono::milliseconds wait{ 0 };
};

struct RequestLimiterOptions
{
  /// A server that was not asked for may be sent the requests of this time at once. With it and the
  /// request in progress, any 4 s hold at most the requests of 4.5 s and one more.
  std::chrono::milliseconds burst{ 500 };
  /// A permit is granted for a time that is at most this far ahead, so that an absurd limit can't
  /// reserve a server for ever.
  std::chrono::milliseconds max_wait{ 5000 };
  /// The time after which a denied host asks again, at most; a server may raise its limit
  /// meanwhile.
  std::chrono::milliseconds max_retry{ 1000 };
  /// A server that is not asked for in this time is forgotten.
  std::chrono::seconds retention{ 60 };
};

/// Grants the requests that all hosts together may send to servers that name a limit. Spaces the
/// requests of a server evenly (generic cell rate algorithm, ITU-T I.371) and starts without
/// credit, because another limiter may just have granted. Not thread-safe.
class RequestLimiter
{
public:
  explicit RequestLimiter(RequestLimiterOptions options = {})
    : m_options(options)
  {
  }

  /// Grants the first candidate that can be sent a request at once, otherwise the one that can be
  /// soonest.
  /// \param share part of each limit that this limiter may grant, see limiter_share()
  PermitAnswer request(const PermitQuery& query, double share, TimePoint now);

  /// \return number of servers that are limited at present
  std::size_t size() const { return m_servers.size(); }

  /// Forgets servers that have not been asked for in a while.
  void expire(TimePoint now);

private:
  struct State
  {
    std::uint64_t incarnation = 0;
    double limit = 0;
    /// When the server named the limit.
    TimePoint named_at;
    /// Earliest time of the next request.
    TimePoint next;
    TimePoint last_query;
  };

  static void change_limit(State& state, double limit, double share, TimePoint now);
  State& update(const ServiceName& service,
                const LimitedServer& server,
                double share,
                TimePoint now);

  RequestLimiterOptions m_options;
  std::map<std::pair<ServiceName, ServerId>, State> m_servers;
};

/// \return the members that grant permits for a service, the preferred one first and then the one
/// that stands in while it does not answer; chosen by rendezvous hashing, so that services are
/// spread over the members
std::vector<std::string> limiters_of(const ServiceName& service,
                                     const std::vector<std::string>& members);

/// \return the part of each limit that the member may grant for the service. The shares of the two
/// limiters of a service add up to 1.25, so that hosts which ask different ones stay within 1.5
/// times the limit; 0 if the member is not a limiter of the service
double limiter_share(const ServiceName& service,
                     const std::string& member,
                     const std::vector<std::string>& members);

/// Selects the limiter to ask. One that does not answer is passed over for a while. Not
/// thread-safe.
class LimiterSelection
{
public:
  /// Replaces the members of the control group, which grant the permits.
  void set_members(std::vector<std::string> members) { m_members = std::move(members); }

  /// \return address of the limiter to ask; empty if none is likely to answer
  std::string select(const ServiceName& service, TimePoint now) const;

  /// The limiter did not answer in time.
  void timed_out(const std::string& limiter, TimePoint now);

  /// The limiter answered.
  void answered(const std::string& limiter) { m_avoided_until.erase(limiter); }

private:
  std::vector<std::string> m_members;
  std::map<std::string, TimePoint> m_avoided_until;
};

} // namespace lovagehold
