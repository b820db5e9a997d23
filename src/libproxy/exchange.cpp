#include "exchange.h"

#include "framing.h"

#include <boost/asio/dispatch.hpp>
#include <sys/socket.h>

namespace lovagehold {

ExchangeInbox::ExchangeInbox(asio::any_io_executor executor,
                             std::function<void(const Action&)> on_late_action)
  : m_executor(std::move(executor))
  , m_signal(m_executor, TimePoint::max())
  , m_on_late_action(std::move(on_late_action))
{
}

void
ExchangeInbox::push(ExchangeEvent event)
{
  asio::dispatch(m_executor, [self = shared_from_this(), event = std::move(event)]() mutable {
    self->enqueue(std::move(event));
  });
}

void
ExchangeInbox::enqueue(ExchangeEvent event)
{
  if (!m_closed) {
    m_events.push_back(std::move(event));
    m_signal.cancel();
  } else if (const auto* action = std::get_if<Action>(&event)) {
    m_on_late_action(*action);
  }
}

awaitable<ExchangeEvent>
ExchangeInbox::next()
{
  while (m_events.empty()) {
    boost::system::error_code ignored;
    co_await m_signal.async_wait(capture(ignored));
  }
  ExchangeEvent event = std::move(m_events.front());
  m_events.pop_front();
  co_return event;
}

void
ExchangeInbox::close()
{
  m_closed = true;
  for (const ExchangeEvent& event : m_events) {
    if (const auto* action = std::get_if<Action>(&event)) {
      m_on_late_action(*action);
    }
  }
  m_events.clear();
}

CallerWatch::CallerWatch(beast::tcp_stream& caller, std::shared_ptr<ExchangeInbox> inbox)
  : m_caller(caller)
  , m_inbox(std::move(inbox))
{
}

CallerWatch::~CallerWatch()
{
  stop();
}

void
CallerWatch::start()
{
  stop();
  m_active = std::make_shared<bool>(true);
  const auto on_readable =
    [active = m_active, inbox = m_inbox, &caller = m_caller](boost::system::error_code error) {
      // The caller's stream may have been destroyed after the watch was stopped.
      if (error || !*active) {
        return;
      }
      char byte = 0;
      const int handle = caller.socket().native_handle();
      const auto received = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
        inbox->push(CallerDisconnected{});
      }
    };
  m_caller.socket().async_wait(tcp::socket::wait_read, on_readable);
}

void
CallerWatch::stop()
{
  if (!m_active) {
    return;
  }
  *m_active = false;
  m_active.reset();
  boost::system::error_code ignored;
  m_caller.socket().cancel(ignored);
}

bool
is_chunked_upload(const Exchange& exchange)
{
  return !exchange.buffered && exchange.request.count(http::field::content_length) == 0;
}

std::string
make_forwarded_head(const Exchange& exchange, unsigned retries_left, bool relayed)
{
  http::request_header<> header = exchange.request.base();
  const bool has_body = header.count(http::field::content_length) > 0 ||
                        header.count(http::field::transfer_encoding) > 0;
  remove_hop_by_hop_fields(header);
  const auto remaining =
    std::chrono::duration_cast<std::chrono::milliseconds>(exchange.deadline - Clock::now());
  header.set(kDeadlineHeader, std::to_string(std::max<std::int64_t>(remaining.count(), 0)));
  header.set(kRetriesHeader, std::to_string(retries_left));
  header.set(kRequestIdHeader, exchange.id);
  header.erase(kRelayedHeader);
  if (relayed) {
    header.set(kRelayedHeader, exchange.context.options.self);
    header.set(kServiceHeader, exchange.service);
  }
  if (is_chunked_upload(exchange)) {
    header.set(http::field::transfer_encoding, "chunked");
  } else if (has_body && exchange.buffered) {
    header.set(http::field::content_length, std::to_string(exchange.request.body().size()));
  }
  return format_request_head(header);
}

} // namespace lovagehold
