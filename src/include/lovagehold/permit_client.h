#pragma once

#include "lovagehold/cluster_message.h"
#include "lovagehold/request_numbers.h"

#include <functional>
#include <map>

namespace lovagehold {

struct PermitClientOptions
{
  /// A limiter without an answer for this time is taken for unreachable. It answers within a round
  /// trip of a few milliseconds.
  std::chrono::milliseconds timeout{ 100 };
};

/// Asks the control hosts for permits to send requests to limited servers. Without an answer in
/// time there is no permit: a limited server then gets nothing from this host. Not thread-safe.
class PermitClient
{
public:
  using Send = std::function<void(const std::string& address, const ClusterMessage&)>;
  using AnswerHandler = std::function<void(const PermitAnswer&)>;

  explicit PermitClient(Send send, PermitClientOptions options = {});

  /// Sets the cluster addresses of the control group's members.
  void set_members(std::vector<std::string> members);

  /// \param handler called once, from this call or from a later one of receive() or expire()
  void request(const PermitQuery& query, AnswerHandler handler, TimePoint now);

  /// Handles the answer of a control host; late ones are ignored.
  void receive(const PermitReply& reply);

  /// Ends the requests without an answer in time.
  void expire(TimePoint now);

  /// \return when expire() is to be called next; TimePoint::max() if no request is pending
  TimePoint next_expiry() const;

private:
  struct Pending
  {
    std::string limiter;
    AnswerHandler handler;
    TimePoint expires;
  };

  Send m_send;
  PermitClientOptions m_options;
  LimiterSelection m_selection;
  /// By id; expires grows with the id.
  std::map<std::uint64_t, Pending> m_pending;
  RequestNumbers m_numbers;
};

} // namespace lovagehold
