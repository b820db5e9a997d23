#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/request_numbers.h"

#include <functional>
#include <map>

namespace lovagehold {

struct AllowanceRelayOptions
{
  /// A control host without an answer for this time is passed over for a while.
  std::chrono::milliseconds timeout{ 200 };
  /// Questions that may wait for their answers; further ones are dropped, and the host that asked
  /// decides by itself.
  std::size_t max_pending = 512;
};

/// Passes questions about allowances on to the responsible control hosts, for entry hosts that can
/// reach other entry hosts but no control host. Not thread-safe.
class AllowanceRelay
{
public:
  using Send = std::function<void(const std::string& address, const ClusterMessage&)>;

  explicit AllowanceRelay(Send send, AllowanceRelayOptions options = {});

  /// Sets the cluster addresses of the control group's members.
  void set_members(std::vector<std::string> members);

  /// Passes a question of another entry host on. It must be about one account; others are dropped.
  void forward(const std::string& from, const AllowanceQuery& query, TimePoint now);

  /// Passes the answer of a control host back.
  /// \return false if the answer is to a question of this host itself
  bool receive(const AllowanceReply& reply);

private:
  struct Pending
  {
    std::string from;
    /// Of the question, as the other host has numbered it.
    std::uint64_t id = 0;
    std::string limiter;
    TimePoint expires;
  };

  void expire(TimePoint now);

  Send m_send;
  AllowanceRelayOptions m_options;
  LimiterSelection m_selection;
  /// By the number under which the question was passed on; expires grows with it.
  std::map<std::uint64_t, Pending> m_pending;
  RequestNumbers m_numbers;
};

} // namespace lovagehold
