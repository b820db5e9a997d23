#pragma once

#include "entry_context.h"
#include "http_types.h"
#include "server_attempt.h"
#include "upload_source.h"

#include <deque>
#include <variant>

namespace lovagehold {

/// State of one request while this host serves it. Lives on the session's coroutine frame.
struct Exchange
{
  EntryContext& context;
  EntryWorker& worker;
  beast::tcp_stream& caller;
  UploadSource& upload;
  /// Header as the caller sent it, and the body if buffered is set.
  StringRequest request;
  /// The whole body has been read into request; otherwise it is streamed from upload.
  bool buffered = false;
  ServiceName service;
  std::shared_ptr<const RoutingView> view;
  const RoutingView::Route* route = nullptr;
  const RequestKind* kind = nullptr;
  TimePoint deadline;
  unsigned retries_left = 0;
  /// How the request ended; recorded in the metrics.
  RequestOutcome outcome = RequestOutcome::Aborted;
  /// Id of the request, unique over all hosts and their restarts.
  std::string id;

  bool non_idempotent() const
  {
    return kind != nullptr && kind->request_class == RequestClass::NonIdempotent;
  }
  /// \return value of the outcome header for a request that was not dispatched.
  const char* rejected_outcome() const { return non_idempotent() ? "not-run" : "refused"; }
};

/// What happens to the caller's connection after the request.
struct SessionOutcome
{
  bool keep_connection = false;
};

/// An attempt has ended or has received the header of its response.
struct AttemptEnded
{
  AttemptId attempt = 0;
};

/// The caller closed its connection.
struct CallerDisconnected
{};

using ExchangeEvent = std::variant<Action, AttemptEnded, CallerDisconnected>;

/// Queue of the events of one request. Any thread may push; the session's thread receives them.
class ExchangeInbox : public std::enable_shared_from_this<ExchangeInbox>
{
public:
  /// \param on_late_action receives the actions that are still queued at close() or arrive later
  ExchangeInbox(asio::any_io_executor executor, std::function<void(const Action&)> on_late_action);

  /// Thread-safe.
  void push(ExchangeEvent event);

  /// Waits for the next event.
  awaitable<ExchangeEvent> next();

  /// Passes all queued actions, and all that arrive later, to on_late_action.
  void close();

private:
  void enqueue(ExchangeEvent event);

  asio::any_io_executor m_executor;
  asio::steady_timer m_signal;
  std::function<void(const Action&)> m_on_late_action;
  std::deque<ExchangeEvent> m_events;
  bool m_closed = false;
};

/// Pushes CallerDisconnected when the caller closes its connection. May only be active while the
/// request's body is not being read.
class CallerWatch
{
public:
  CallerWatch(beast::tcp_stream& caller, std::shared_ptr<ExchangeInbox> inbox);
  ~CallerWatch();
  CallerWatch(const CallerWatch&) = delete;
  CallerWatch& operator=(const CallerWatch&) = delete;

  void start();
  void stop();

private:
  beast::tcp_stream& m_caller;
  std::shared_ptr<ExchangeInbox> m_inbox;
  std::shared_ptr<bool> m_active;
};

/// \return the request line and header fields to send to a server or, if \p relayed, to the owner
/// of the service.
std::string make_forwarded_head(const Exchange& exchange, unsigned retries_left, bool relayed);

/// \return whether the request body is sent chunked, because it is streamed and its length is not
/// known.
bool is_chunked_upload(const Exchange& exchange);

} // namespace lovagehold
