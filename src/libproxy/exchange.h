#pragma once

#include "entry_context.h"
#include "http_types.h"
#include "server_attempt.h"
#include "upload_source.h"

#include <deque>
#include <variant>

namespace lovagehold {

/// One request on its way through the entry host. Lives on the session's coroutine frame.
struct Exchange
{
  EntryContext& context;
  EntryWorker& worker;
  beast::tcp_stream& caller;
  UploadSource& upload;
  /// Header as the caller sent it; the body too once it has been read.
  StringRequest request;
  /// The body is in request.
  bool buffered = false;
  ServiceName service;
  std::shared_ptr<const RoutingView> view;
  const RoutingView::Route* route = nullptr;
  const RequestKind* kind = nullptr;
  TimePoint deadline;
  unsigned retries_left = 0;
  /// How the request ended, for the metrics.
  RequestOutcome outcome = RequestOutcome::Aborted;
  /// Unique over all requests of all hosts and their restarts.
  std::string id;

  bool non_idempotent() const
  {
    return kind != nullptr && kind->request_class == RequestClass::NonIdempotent;
  }
  /// What a request that was not dispatched is told.
  const char* rejected_outcome() const { return non_idempotent() ? "not-run" : "refused"; }
};

/// What happens to the caller's connection after the request.
struct SessionOutcome
{
  bool keep_connection = false;
};

/// An attempt has ended or has its response's header.
struct AttemptEnded
{
  AttemptId attempt = 0;
};

/// The caller closed its connection.
struct CallerGone
{};

using ExchangeEvent = std::variant<Action, AttemptEnded, CallerGone>;

/// Events of one request, received on the session's thread.
class ExchangeInbox : public std::enable_shared_from_this<ExchangeInbox>
{
public:
  /// \param late receives actions that arrive after close()
  ExchangeInbox(asio::any_io_executor executor, std::function<void(const Action&)> late);

  /// Thread-safe.
  void push(ExchangeEvent event);

  /// Waits for the next event.
  awaitable<ExchangeEvent> next();

  /// Passes all actions not taken so far, and all later ones, to the late handler.
  void close();

private:
  void accept(ExchangeEvent event);

  asio::any_io_executor m_executor;
  asio::steady_timer m_signal;
  std::function<void(const Action&)> m_late;
  std::deque<ExchangeEvent> m_events;
  bool m_closed = false;
};

/// Reports CallerGone when the caller closes its connection while no request byte is expected.
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

/// \return the request line and fields for a server or, if \p relayed, for the owner of the
/// service.
std::string make_forwarded_head(const Exchange& exchange, unsigned retries_left, bool relayed);

/// \return whether the upload's length is not known, so that it is sent as chunks.
bool is_chunked_upload(const Exchange& exchange);

} // namespace lovagehold
