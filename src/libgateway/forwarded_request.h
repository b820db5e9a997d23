#pragma once

#include "error_response.h"
#include "lovagehold/request_fingerprint.h"
#include "server_admission.h"
#include "server_exchange.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace lovagehold {

/// A caller's request together with the route that it matched.
struct GatewayRequest
{
  std::string id;
  /// Path and query.
  std::string target;
  /// The same for each attempt of the caller.
  RequestFingerprint fingerprint = 0;
  /// Request line and headers without the deadline and expected server headers, which are added for
  /// each attempt.
  std::string head;
  std::shared_ptr<const std::string> body;
  /// The body if it is still arriving; \p body is empty then.
  std::shared_ptr<ArrivingBody> arriving;
  /// Source of a streamed body; null if \p body or \p arriving has the body. Shared, because the
  /// sending of the body may outlive the caller's request.
  std::shared_ptr<UploadSource> upload;
  bool chunked = false;
  bool head_method = false;
  std::shared_ptr<const Route> route;
  ServiceName service;
  /// Null if the service is not configured.
  std::shared_ptr<const RoutedService> service_config;
  /// Null for a request without an account.
  std::shared_ptr<const ClientAccount> account;
  TimePoint arrived;
  /// Time at which the caller stops waiting.
  TimePoint caller_deadline;
  /// Estimated time between the caller's first attempt and the arrival; see RequestAge.
  Duration age{ 0 };
  /// Returns whether the caller has closed the connection. Asked before each attempt; may be empty.
  std::function<bool()> caller_left;

  /// \return the priority of the account if it has one, otherwise that of the route
  unsigned priority() const
  {
    return account != nullptr ? account->priority.value_or(route->priority) : route->priority;
  }
};

/// Forwards one request: selects servers, retries failed attempts where that is safe, and hedges
/// slow ones. Not thread-safe.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
  ForwardedRequest(GatewayContext& context, GatewayRequest request);

  /// Runs until there is a response to forward or an error to report. The error is in
  /// error_response().
  awaitable<void> run();

  /// Called when the caller has disconnected: starts no further attempts and cancels the active
  /// ones.
  void abandon();

  /// \return the server's response to forward; null if there is none. Valid after run().
  ServerExchange* response() const { return m_winner.get(); }
  const GatewayErrorResponse& error_response() const { return m_error_response; }
  bool abandoned() const { return m_abandoned; }

  /// Releases the server connections after the response has been forwarded.
  /// \param complete whether the whole response was forwarded
  void finish(bool complete);

  /// \return a log field with one item per attempt: server, exchange status, duration, expected
  /// cost in percent, age of the load report in milliseconds, and that report as
  /// running/waiting/slots/slowdown, and the server's request limit if it had one
  std::string describe_attempts() const;

  /// \return number of attempts left in the retry budget; for the log
  double budget_left() const;

  const ServiceName& service() const { return m_request.service; }
  RequestFingerprint fingerprint() const { return m_request.fingerprint; }

private:
  struct Attempt
  {
    std::shared_ptr<ServerExchange> exchange;
    ServerInfo server;
    TimePoint started;
    Duration elapsed{};
    double cost = 0;
    std::optional<Duration> report_age;
    /// Last load report of the server when it was selected.
    LoadReport load;
    /// Request limit of the server when it was selected.
    std::optional<double> limit;
    /// The exchange has ended.
    bool done = false;
    /// The result has been applied to the request and to the server selector.
    bool evaluated = false;
    /// Last check of a late request, see check_server().
    std::optional<TimePoint> checked_at;
    /// The whole request had been sent at the last check.
    bool was_sent = false;
    /// When the server was last asked for its load.
    std::optional<TimePoint> asked_at;
    /// The server has reported since then that it has no request.
    bool server_is_idle = false;
  };

  void start_attempt(bool hedge);
  awaitable<void> run_attempt(bool hedge);
  awaitable<bool> wait_for_capacity(bool hedge);
  awaitable<bool> check_capacity(TimePoint latest);
  std::optional<ServerInfo> select_server(TimePoint now);
  std::string describe_overload(const ServerInfo& best, TimePoint now) const;
  awaitable<void> probe(bool preferred_only, const std::string& path);
  std::size_t body_bytes() const;
  void evaluate(Attempt& attempt);
  void evaluate_response(Attempt& attempt);
  void record_crash(const Attempt& attempt, TimePoint now);
  void record_success(TimePoint now);
  bool is_quarantined(TimePoint now);
  void cancel_active_attempts();
  bool has_active_attempts() const;
  bool may_retry(TimePoint now);
  void give_up(TimePoint now);
  void refuse_not_executed(RefusalCause cause, const char* reason, TimePoint now);
  TimePoint answer_deadline() const;
  TimePoint late_time(const Attempt& attempt) const;
  TimePoint hedge_time() const;
  TimePoint check_time() const;
  void check_server(TimePoint now);
  void ask_server(TimePoint now);
  bool may_hedge(TimePoint now);
  OutgoingRequest make_outgoing_request(const ServerInfo& server, TimePoint now) const;
  bool idempotent() const { return m_request.route->kind == RouteKind::Idempotent; }

  GatewayContext& m_context;
  GatewayRequest m_request;
  /// The earlier of the caller's deadline and the route's timeout.
  TimePoint m_deadline;
  /// Wakes run() when an attempt changes its state or the caller disconnects.
  asio::steady_timer m_wakeup;
  std::vector<std::shared_ptr<Attempt>> m_attempts;
  std::set<ServerId> m_tried_servers;
  ServerAdmission m_admission;
  /// The exchange whose response is forwarded.
  std::shared_ptr<ServerExchange> m_winner;
  /// A 5xx response of a server; forwarded if no attempt gets a better one.
  std::shared_ptr<ServerExchange> m_server_error;
  GatewayErrorResponse m_error_response;
  /// Load of the best server and of the queue if no server had free capacity.
  std::string m_overload_detail;
  /// Attempts for which no server has been selected yet.
  unsigned m_pending_selections = 0;
  /// Attempts that count towards Route::max_attempts.
  unsigned m_counted_attempts = 0;
  /// Set if an attempt ended without proof that the server did not execute the request.
  bool m_may_have_executed = false;
  /// Cleared when no further attempt may be made: the request might be executed twice, or there is
  /// no time, capacity or retry budget left for it.
  bool m_retryable = true;
  /// The server of the latest attempt has crashed.
  bool m_server_crashed = false;
  /// The request crashes its servers and is not sent to further ones.
  bool m_quarantined = false;
  /// No server was left to select for the latest attempt.
  bool m_no_server = false;
  /// A hedge was sent or decided against.
  bool m_hedged = false;
  bool m_abandoned = false;
  /// Set by give_up(): the outcome is final and no further attempt is made.
  bool m_given_up = false;
};

} // namespace lovagehold
