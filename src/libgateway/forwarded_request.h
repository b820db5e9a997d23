#pragma once

#include "server_exchange.h"

#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

/// A caller's request with what its route says.
struct GatewayRequest
{
  std::string id;
  /// Request line and headers for the server, without deadline and expected server.
  std::string head;
  std::shared_ptr<const std::string> body;
  /// Set while the body is streamed.
  UploadSource* upload = nullptr;
  bool chunked = false;
  bool head_method = false;
  /// Keeps the route alive.
  std::shared_ptr<RoutingTable> routing;
  const Route* route = nullptr;
  ServiceName service;
  TimePoint arrived;
  /// When the caller stops waiting.
  TimePoint caller_deadline;
};

/// What the caller is told when no server's response is passed on.
struct GatewayRefusal
{
  unsigned status = 503;
  std::string reason;
  /// What decided it, for the log.
  std::string detail;
  /// When the caller should come back; only for requests that did not run.
  std::optional<std::chrono::milliseconds> retry_after;
};

/// Forwards one request: chooses servers, repeats attempts that may be repeated and hedges slow
/// ones. Belongs to one thread.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
  ForwardedRequest(GatewayContext& context, GatewayRequest request);

  /// Runs until a response or a refusal stands.
  awaitable<void> run();

  /// The caller has left: nothing more is sent, attempts in progress are given up.
  void abandon();

  /// Set after run() if a server's response is to be passed on.
  ServerExchange* response() const { return m_winner.get(); }
  const GatewayRefusal& refusal() const { return m_refusal; }
  bool abandoned() const { return m_abandoned; }

  /// Ends the request after its response has been passed on. \param complete whole
  void finish(bool complete);

  /// \return one word for each attempt, for the log: server, end, time, expected cost in percent,
  /// age of the load report in milliseconds, and that load as running/waiting/slots/slowdown
  std::string describe_attempts() const;

  /// \return attempts that the retry budget still allows, for the log
  double budget_left() const;

  const ServiceName& service() const { return m_request.service; }

private:
  struct Attempt
  {
    std::shared_ptr<ServerExchange> exchange;
    ServerInfo server;
    TimePoint begun;
    Duration elapsed{};
    double cost = 0;
    std::optional<Duration> report_age;
    /// What the server was known to run when it was chosen.
    LoadReport load;
    bool done = false;
    bool judged = false;
  };

  void start_attempt(bool hedge);
  awaitable<void> run_attempt(bool hedge);
  awaitable<bool> await_room(bool hedge);
  awaitable<bool> look_for_room();
  TimePoint latest_start(TimePoint since) const;
  std::string describe_crowd(const ServerInfo& best, TimePoint now) const;
  awaitable<void> probe(bool local, const std::string& path);
  std::size_t body_bytes() const;
  void judge(Attempt& attempt);
  void judge_response(Attempt& attempt);
  void cancel_running();
  bool running() const;
  bool may_retry(TimePoint now);
  void give_up(TimePoint now);
  void refuse_unrun(const char* reason);
  TimePoint hedge_time() const;
  bool may_hedge(TimePoint now);
  OutgoingRequest outgoing(const ServerInfo& server, TimePoint now) const;
  bool idempotent() const { return m_request.route->kind == RouteKind::Idempotent; }

  GatewayContext& m_context;
  GatewayRequest m_request;
  /// The earlier of the caller's deadline and the route's timeout.
  TimePoint m_deadline;
  asio::steady_timer m_event;
  std::vector<std::shared_ptr<Attempt>> m_attempts;
  std::set<ServerId> m_tried;
  std::shared_ptr<ServerExchange> m_winner;
  /// A server's failure, passed on if no attempt does better.
  std::shared_ptr<ServerExchange> m_failure;
  GatewayRefusal m_refusal;
  /// Set if no server had room.
  std::string m_crowd;
  unsigned m_choosing = 0;
  unsigned m_sent = 0;
  bool m_may_have_run = false;
  bool m_retryable = true;
  bool m_no_server = false;
  bool m_hedged = false;
  bool m_abandoned = false;
  bool m_decided = false;
};

} // namespace lovagehold
