#pragma once

#include "lovagehold/types.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lovagehold {

/// A request that waits for free capacity, as far as its place in the queue depends on it.
struct WaitingRequest
{
  /// Of the account, or of the route if the account has none; 0 is the most urgent.
  unsigned priority = 0;
  unsigned route_priority = 0;
  /// Empty for a request without an account; these share one place among the accounts.
  std::string account;
  /// Share of the account in the capacity, relative to that of other accounts; above 0.
  double share = 1;
  TimePoint arrived;
  /// Latest start with which it is expected to meet its objective.
  TimePoint meets_until = TimePoint::max();
};

/// Order of the requests of one service that wait on this host: the account's priority, the route's
/// priority, requests that can still meet their objective first, fairness between accounts,
/// arrival. Requests of one account that all meet their objective are therefore in the order of
/// priority and arrival.
///
/// Fairness is start-time fair queueing (Goyal, Vin, Cheng 1996) among requests of equal
/// priorities: an account that was served, or that has several requests waiting, comes after
/// accounts with less, in proportion to their shares. Only requests that were served count, not
/// those that were refused while they waited. Not thread-safe.
class WaitingOrder
{
public:
  using Id = std::uint64_t;

  Id add(const WaitingRequest& request);

  /// A request was sent to a server. Must still be in the order.
  void count_served(Id id);

  /// Removes a request, whether it was served or not.
  void remove(Id id);

  bool is_empty() const { return m_requests.empty(); }
  std::size_t size() const { return m_requests.size(); }

  /// \return the request that gets the next free capacity. The order must not be empty.
  Id first(TimePoint now);

  /// \return the number of requests before this one, which must be in the order
  std::size_t position(Id id, TimePoint now);

private:
  /// Requests compete for fairness within the same priorities.
  using Rank = std::pair<unsigned, unsigned>;

  struct Entry
  {
    WaitingRequest request;
    std::size_t position = 0;
  };

  /// Fair queueing among the requests of a rank, while any of them waits.
  struct RankState
  {
    std::size_t waiting = 0;
    /// Start tag of the latest request that was served.
    double virtual_time = 0;
    /// Start tag of the next request of each account that is ahead of the virtual time.
    std::map<std::string, double> next_start;

    double start_of(const std::string& account) const;
  };

  static Rank rank_of(const WaitingRequest& request)
  {
    return { request.priority, request.route_priority };
  }
  void sort(TimePoint now);

  Id m_next_id = 0;
  std::map<Id, Entry> m_requests;
  std::map<Rank, RankState> m_ranks;
  /// Valid until the requests change or one of them can no longer meet its objective.
  std::vector<Id> m_sorted;
  bool m_is_sorted = false;
  TimePoint m_sorted_until;
};

} // namespace lovagehold
