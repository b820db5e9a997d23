#include "lovagehold/waiting_order.h"

#include <algorithm>
#include <tuple>

namespace lovagehold {

namespace {

// A share of almost nothing would put an account behind the others for hours after one request.
constexpr double kMinShare = 0.01;

double
cost_of(const WaitingRequest& request)
{
  return 1 / std::max(request.share, kMinShare);
}

} // namespace

double
WaitingOrder::RankState::start_of(const std::string& account) const
{
  const auto known = next_start.find(account);
  return known == next_start.end() ? virtual_time : std::max(virtual_time, known->second);
}

WaitingOrder::Id
WaitingOrder::add(const WaitingRequest& request)
{
  m_is_sorted = false;
  ++m_ranks[rank_of(request)].waiting;
  m_requests[m_next_id] = { .request = request };
  return m_next_id++;
}

void
WaitingOrder::count_served(Id id)
{
  m_is_sorted = false;
  const WaitingRequest& request = m_requests.at(id).request;
  RankState& rank = m_ranks.at(rank_of(request));
  const double start = rank.start_of(request.account);
  rank.virtual_time = start;
  rank.next_start[request.account] = start + cost_of(request);
  for (auto entry = rank.next_start.begin(); entry != rank.next_start.end();) {
    entry = entry->second <= start ? rank.next_start.erase(entry) : std::next(entry);
  }
}

void
WaitingOrder::remove(Id id)
{
  m_is_sorted = false;
  const auto entry = m_requests.find(id);
  const auto rank = m_ranks.find(rank_of(entry->second.request));
  // With nobody waiting, no account can be ahead of another.
  if (--rank->second.waiting == 0) {
    m_ranks.erase(rank);
  }
  m_requests.erase(entry);
}

WaitingOrder::Id
WaitingOrder::first(TimePoint now)
{
  sort(now);
  return m_sorted.front();
}

std::size_t
WaitingOrder::position(Id id, TimePoint now)
{
  sort(now);
  return m_requests.at(id).position;
}

void
WaitingOrder::sort(TimePoint now)
{
  if (m_is_sorted && now <= m_sorted_until) {
    return;
  }
  struct Item
  {
    const WaitingRequest* request;
    Id id;
    bool late;
    double start;
  };
  std::vector<Item> items;
  m_sorted_until = TimePoint::max();
  for (const auto& [id, entry] : m_requests) {
    const bool late = now > entry.request.meets_until;
    if (!late) {
      m_sorted_until = std::min(m_sorted_until, entry.request.meets_until);
    }
    items.push_back({ .request = &entry.request, .id = id, .late = late, .start = 0 });
  }
  // First the order of the requests of one account, which gives their start tags.
  const auto own_order = [](const Item& item) {
    return std::tuple(rank_of(*item.request), item.late, item.request->arrived, item.id);
  };
  std::sort(items.begin(), items.end(), [&](const Item& left, const Item& right) {
    return own_order(left) < own_order(right);
  });
  std::map<std::pair<Rank, std::string_view>, double> next_start;
  for (Item& item : items) {
    const Rank rank = rank_of(*item.request);
    const auto [next, is_first] = next_start.try_emplace({ rank, item.request->account });
    if (is_first) {
      next->second = m_ranks.at(rank).start_of(item.request->account);
    }
    item.start = next->second;
    next->second += cost_of(*item.request);
  }
  const auto order = [](const Item& item) {
    return std::tuple(
      rank_of(*item.request), item.late, item.start, item.request->arrived, item.id);
  };
  std::sort(items.begin(), items.end(), [&](const Item& left, const Item& right) {
    return order(left) < order(right);
  });
  m_sorted.clear();
  for (const Item& item : items) {
    m_requests.at(item.id).position = m_sorted.size();
    m_sorted.push_back(item.id);
  }
  m_is_sorted = true;
}

} // namespace lovagehold
