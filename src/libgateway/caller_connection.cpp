#include "caller_connection.h"

#include "account_allowance.h"
#include "incoming_request.h"
#include "request_log.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

namespace lovagehold {

namespace {

constexpr std::chrono::seconds kWriteTimeout{ 10 };
constexpr std::chrono::milliseconds kNoRoutingRetryAfter{ 300 };
// A request that arrives before the first routing configuration waits this long for it: hosts that
// restart together have their configuration again within half a second, and a refusal would cost
// the caller one of its few retries.
constexpr std::chrono::milliseconds kFirstRoutingWait{ 700 };
// During shutdown idle connections are closed after this time, so that a request that is already on
// its way is still served.
constexpr std::chrono::milliseconds kShutdownIdleTimeout{ 1500 };
// Bytes of further requests that are read while a request is served. A caller that has sent more is
// not noticed when it disconnects.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{ 64 } << 10;
// Shorter bodies arrive at once.
constexpr std::size_t kMinArrivingBodyBytes = std::size_t{ 16 } << 10;
// Longest time without progress while a body arrives from a caller.
constexpr std::chrono::milliseconds kBodyIdleTimeout{ 10000 };

// What may end a response after its head has been forwarded.
struct ResponseTimes
{
  TimePoint caller_deadline;
  // The end of the route's timeout.
  TimePoint route_deadline;
  Duration max_silence;

  // Before the route's timeout a slow server may take all the time that the caller has left.
  // \return until when the next piece may arrive
  TimePoint read_deadline(TimePoint now) const
  {
    return std::min(caller_deadline, std::max(route_deadline, now + max_silence));
  }
};

class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(std::shared_ptr<GatewayContext> context, tcp::socket socket)
    : m_context(std::move(context))
    , m_stream(std::move(socket))
    , m_read_timer(m_stream)
  {
  }

  awaitable<void> run()
  {
    while (m_open) {
      co_await serve_one();
    }
    boost::system::error_code ignored;
    m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_stream.socket().close(ignored);
  }

private:
  RequestLimits limits() const
  {
    return m_context->routing ? m_context->routing->limits() : RequestLimits{};
  }

  // Waits for the first byte of the next request. The wait is interrupted when the shutdown begins,
  // and continues with the shorter timeout.
  // \return whether there is data to read
  awaitable<bool> wait_for_request()
  {
    if (m_buffer.size() > 0) {
      co_return true;
    }
    const TimePoint idle_since = Clock::now();
    std::optional<TimePoint> shutdown_idle_end;
    while (true) {
      if (m_context->shutting_down && !shutdown_idle_end) {
        shutdown_idle_end = Clock::now() + kShutdownIdleTimeout;
      }
      const TimePoint idle_end = idle_since + limits().idle_timeout;
      const TimePoint wait_end = m_context->shutting_down ? *shutdown_idle_end : idle_end;
      boost::system::error_code error;
      const std::uint64_t number = m_context->next_idle_caller++;
      m_context->idle_callers.emplace(number, &m_stream);
      m_read_timer.arm(std::min(wait_end, idle_end));
      co_await m_stream.socket().async_wait(tcp::socket::wait_read, capture(error));
      m_read_timer.disarm(error);
      m_context->idle_callers.erase(number);
      if (!error) {
        co_return true;
      }
      const bool shutdown_began =
        error == asio::error::operation_aborted && m_context->shutting_down;
      // The configuration may have raised the idle timeout in the meantime.
      const bool timeout_raised =
        error == beast::error::timeout && Clock::now() < idle_since + limits().idle_timeout;
      if ((!shutdown_began && !timeout_raised) ||
          (m_context->shutting_down && Clock::now() >= std::min(wait_end, idle_end))) {
        co_return false;
      }
    }
  }

  awaitable<void> serve_one()
  {
    const bool has_data = co_await wait_for_request();
    if (!has_data) {
      m_open = false;
      co_return;
    }
    // Taken when the first byte has arrived: a kept connection may have been idle for so long that
    // the limits of an earlier configuration no longer hold.
    const RequestLimits limits = this->limits();
    const auto request = std::make_shared<IncomingRequest>(shared_from_this(), limits);
    RequestParser& parser = request->parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    m_buffer.allow_header(limits.header_bytes);
    boost::system::error_code error;
    m_read_timer.arm(Clock::now() + limits.header_timeout);
    co_await http::async_read_header(m_stream, m_buffer, parser, capture(error));
    m_read_timer.disarm(error);
    if (error) {
      m_open = false;
      const bool closed = error == http::error::end_of_stream ||
                          error == asio::error::connection_reset || error == asio::error::eof ||
                          error == asio::error::operation_aborted;
      if (!closed && error != http::error::partial_message) {
        const RequestFault fault = describe_parse_error(error);
        co_await reject_request(fault);
      }
      co_return;
    }
    const CountedScope in_progress(m_context->in_progress);
    ++m_context->counters.requests;
    m_request = request.get();
    co_await serve_request(request);
    m_request = nullptr;
    if (!request->read_whole()) {
      m_open = false;
    }
    if (request->upload) {
      request->upload->close();
    }
  }

  awaitable<void> serve_request(IncomingRequestPtr request)
  {
    request->arrived = Clock::now();
    RequestParser& parser = request->parser;
    request->identity = CallerIdentity(parser.get(), m_context->options.headers);
    const auto& header = parser.get();
    m_head_method = header.method() == http::verb::head;
    if (const auto fault = check_request_header(header)) {
      m_open = false;
      co_await reject_request(*fault);
      co_return;
    }
    if (!parser.keep_alive()) {
      m_open = false;
    }
    const CallerLimits caller_limits{ .idle = request->limits.idle_timeout,
                                      .header_timeout = request->limits.header_timeout,
                                      .body_idle = kBodyIdleTimeout,
                                      .body_bytes_per_second = 1 };
    UploadSource& upload = request->upload.emplace(m_stream,
                                                   m_read_timer,
                                                   m_buffer,
                                                   parser,
                                                   caller_limits,
                                                   header.count(http::field::expect) > 0,
                                                   &m_context->receive_pacer);
    if (may_forward_while_arriving(parser)) {
      co_await serve_while_arriving(request);
      co_return;
    }
    request->buffered = co_await upload.read_all();
    if (upload.failed()) {
      m_open = false;
      if (!upload.caller_left()) {
        const RequestFault fault = describe_parse_error(upload.error());
        co_await reject_request(fault);
      }
      co_return;
    }
    co_await route(request);
  }

  // On a slow link, a long body is sent to the server while it arrives, which saves the time for
  // receiving it.
  bool may_forward_while_arriving(const RequestParser& parser) const
  {
    const std::uint64_t length = parser.content_length().value_or(0);
    return m_context->receive_pacer.active() && !parser.chunked() &&
           length > kMinArrivingBodyBytes && length <= kBufferedBodyBytes;
  }

  awaitable<void> serve_while_arriving(IncomingRequestPtr request)
  {
    UploadSource& upload = *request->upload;
    upload.keep_nothing();
    // The first read may have to answer an expectation, so it precedes any response.
    const std::string_view first = co_await upload.read();
    if (upload.failed()) {
      m_open = false;
      co_return;
    }
    const auto body = std::make_shared<ArrivingBody>(
      m_context->io, static_cast<std::size_t>(*request->parser.content_length()));
    request->arriving = body;
    body->append(first);
    asio::co_spawn(
      m_context->io,
      [self = shared_from_this(), request]() -> awaitable<void> {
        co_await self->receive_body(request);
      },
      m_context->report_exceptions("receive_body"));
    co_await route(request);
    // A response that is sent before the end of the body would be lost if the connection were
    // closed with unread bytes.
    while (!body->ended()) {
      co_await body->wait();
    }
    m_arriving_request.reset();
    m_open = m_open && !body->failed();
  }

  awaitable<void> receive_body(IncomingRequestPtr request)
  {
    UploadSource& upload = *request->upload;
    ArrivingBody& body = *request->arriving;
    while (!upload.done() && !upload.failed()) {
      const std::string_view piece = co_await upload.read();
      body.append(piece);
    }
    body.end();
    const auto forwarded = m_arriving_request.lock();
    if (forwarded && body.failed()) {
      forwarded->abandon();
    } else if (forwarded) {
      start_disconnect_watch(forwarded);
    }
  }

  awaitable<void> wait_for_routing(TimePoint deadline)
  {
    asio::steady_timer timer(m_context->io, deadline);
    m_context->routing_waiters.insert(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(capture(ignored));
    m_context->routing_waiters.erase(&timer);
  }

  awaitable<void> route(IncomingRequestPtr request)
  {
    const auto& header = request->parser.get();
    const TimePoint arrived = request->arrived;
    if (!m_context->routing) {
      co_await wait_for_routing(arrived + kFirstRoutingWait);
    }
    if (!m_context->routing) {
      const GatewayErrorResponse error_response{ .status = 503,
                                                 .reason =
                                                   "this host has no routing configuration yet",
                                                 .retry_after = kNoRoutingRetryAfter };
      co_await refuse(request, nullptr, error_response);
      co_return;
    }
    const std::string target(header.target());
    const beast::string_view host = header[http::field::host];
    const std::shared_ptr<const Route> route =
      m_context->routing->find(std::string_view(host.data(), host.size()),
                               std::string_view(target).substr(0, target.find('?')));
    if (route == nullptr) {
      const GatewayErrorResponse error_response{ .status = 404,
                                                 .reason = "no route matches the request" };
      co_await refuse(request, nullptr, error_response);
      co_return;
    }
    const IdentityDecision identity =
      request->identity.decide(m_context->routing->accounts(), *route);
    if (identity.refusal) {
      co_await refuse(request, route.get(), *identity.refusal);
      co_return;
    }
    request->account = identity.account;
    const TimePoint caller_stops = caller_deadline(header, m_context->options.headers, arrived);
    const ShutdownArrival arrival{ .kind = route->kind,
                                   .target_latency = route->target_latency,
                                   .deadline = std::min(caller_stops, arrived + route->timeout) };
    if (m_context->shutting_down &&
        !m_context->admission.accepts(arrival, m_context->shutdown, arrived)) {
      m_open = false;
      const GatewayErrorResponse error_response = make_shutdown_refusal();
      co_await refuse(request, route.get(), error_response);
      co_return;
    }
    const auto over_allowance = co_await check_allowance(*m_context, request->account);
    if (over_allowance) {
      co_await refuse(request, route.get(), *over_allowance);
      co_return;
    }
    co_await forward(request, route);
  }

  // Abandons the request if the caller closes the connection while it is served. The end of the
  // stream only shows once all bytes before it have been read, so bytes of pipelined requests are
  // moved to the buffer, up to its limit.
  awaitable<void> watch_for_disconnect(std::weak_ptr<ForwardedRequest> forwarded)
  {
    while (true) {
      boost::system::error_code error;
      co_await m_stream.socket().async_wait(tcp::socket::wait_read, capture(error));
      const auto request = forwarded.lock();
      if (error || !request || m_buffer.size() >= max_pipelined_bytes()) {
        co_return;
      }
      if (has_disconnected()) {
        request->abandon();
        co_return;
      }
    }
  }

  std::size_t max_pipelined_bytes() const
  {
    return std::min(m_buffer.max_size(), kMaxPipelinedBytes);
  }

  // Reads what the caller has sent behind the request. Must not be called before the request has
  // been read to its end. \return whether the caller has closed the connection
  bool has_disconnected()
  {
    const std::size_t limit = max_pipelined_bytes();
    if (m_buffer.size() >= limit) {
      return false;
    }
    const auto space = m_buffer.prepare(limit - m_buffer.size());
    const auto received =
      ::recv(m_stream.socket().native_handle(), space.data(), space.size(), MSG_DONTWAIT);
    if (received > 0) {
      m_buffer.commit(static_cast<std::size_t>(received));
    }
    return received == 0 ||
           (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
  }

  awaitable<void> forward(IncomingRequestPtr incoming, std::shared_ptr<const Route> route)
  {
    const auto& arriving = incoming->arriving;
    GatewayRequest request = make_gateway_request(*m_context, incoming, route);
    const std::string id = request.id;
    const ResponseTimes times{ .caller_deadline = request.caller_deadline,
                               .route_deadline = request.arrived + route->timeout,
                               .max_silence = m_context->options.response_idle };
    // The watch below may learn of it later than an attempt starts, if the host is busy.
    request.caller_left = [self = shared_from_this(), weak = std::weak_ptr(incoming)] {
      const auto served = weak.lock();
      return served && served->body_has_ended() && self->has_disconnected();
    };
    const auto forwarded = std::make_shared<ForwardedRequest>(*m_context, std::move(request));
    if (incoming->body_has_ended()) {
      start_disconnect_watch(forwarded);
    } else if (arriving) {
      m_arriving_request = forwarded;
    }
    co_await forwarded->run();
    if (!incoming->read_whole()) {
      incoming->upload->close();
    }
    unsigned status = 0;
    if (forwarded->abandoned()) {
      m_open = false;
      ++m_context->counters.abandoned;
      forwarded->finish(false);
    } else if (ServerExchange* response = forwarded->response()) {
      // Ends the disconnect watch.
      m_stream.socket().cancel();
      status = response->response().result_int();
      const bool complete = co_await forward_response(*response, times);
      ++(complete ? m_context->counters.served : m_context->counters.failed);
      forwarded->finish(complete);
    } else {
      m_stream.socket().cancel();
      status = forwarded->error_response().status;
      co_await send_error_response(forwarded->error_response());
      forwarded->finish(false);
    }
    const RequestEnd end{ .id = id, .status = status, .arrived = incoming->arrived };
    record_request(*m_context, *route, incoming->account.get(), end, *forwarded);
  }

  void start_disconnect_watch(const std::shared_ptr<ForwardedRequest>& forwarded)
  {
    asio::co_spawn(
      m_context->io,
      [self = shared_from_this(), weak = std::weak_ptr<ForwardedRequest>(forwarded)]()
        -> awaitable<void> { co_await self->watch_for_disconnect(weak); },
      m_context->report_exceptions("disconnect_watch"));
  }

  // Decides for all responses whether the connection is kept, and sets "Connection: close" if not.
  // A request that has not been read to its end is the last one: the rest of its body must not be
  // taken for requests.
  void add_connection_close(http::fields& fields)
  {
    const bool read_whole = m_request != nullptr && m_request->read_whole();
    if (!read_whole || m_context->shutting_down || Clock::now() < m_context->spread_until) {
      m_open = false;
    }
    if (!m_open) {
      fields.set(http::field::connection, "close");
    }
  }

  awaitable<bool> write(std::string_view head, std::string_view body)
  {
    const std::array<asio::const_buffer, 2> buffers{ asio::buffer(head.data(), head.size()),
                                                     asio::buffer(body.data(), body.size()) };
    m_stream.expires_after(kWriteTimeout);
    boost::system::error_code error;
    co_await asio::async_write(m_stream, buffers, capture(error));
    m_stream.expires_never();
    m_open = m_open && !error;
    co_return !error;
  }

  // Forwards the response of a server until the caller stops waiting: a broken server may send
  // without end. \return whether the caller was sent the whole response
  awaitable<bool> forward_response(ServerExchange& exchange, ResponseTimes times)
  {
    http::response_header<> header = exchange.response().base();
    const bool bodiless = m_head_method || header.result() == http::status::no_content ||
                          header.result() == http::status::not_modified;
    remove_hop_by_hop_fields(header);
    header.version(11);
    const bool fully_buffered = exchange.is_complete();
    bool chunked = false;
    if (fully_buffered && !bodiless) {
      header.set(http::field::content_length, std::to_string(exchange.buffered_body().size()));
    } else if (!bodiless && !exchange.content_length()) {
      header.set(http::field::transfer_encoding, "chunked");
      chunked = true;
    }
    add_connection_close(header);
    const std::string head = format_response_head(header);
    const std::string_view first =
      fully_buffered || !chunked ? std::string_view(exchange.buffered_body()) : std::string_view();
    bool written = co_await write(head, first);
    if (fully_buffered) {
      co_return written;
    }
    if (chunked && written && !exchange.buffered_body().empty()) {
      written = co_await write_piece(exchange.buffered_body(), true);
    }
    while (written && !exchange.is_complete()) {
      const std::string_view piece = co_await exchange.read_body(times.read_deadline(Clock::now()));
      if (piece.empty()) {
        break;
      }
      written = co_await write_piece(piece, chunked);
    }
    const bool complete = written && exchange.is_complete();
    if (!complete) {
      // The missing last chunk or the short length tells the caller that the response is truncated.
      m_open = false;
    } else if (chunked) {
      written = co_await write("0\r\n\r\n", "");
    }
    co_return complete&& written;
  }

  awaitable<bool> write_piece(std::string_view piece, bool chunked)
  {
    if (!chunked) {
      const bool written = co_await write(piece, "");
      co_return written;
    }
    std::array<char, 24> size{};
    const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
    std::string framed(size.data(), static_cast<std::size_t>(digits));
    framed.append(piece).append("\r\n");
    const bool written = co_await write(framed, "");
    co_return written;
  }

  awaitable<void> reject_request(const RequestFault& fault)
  {
    log_rejected_request(*m_context, fault);
    const GatewayErrorResponse error_response{ .status = static_cast<unsigned>(fault.status),
                                               .reason = fault.error + "; " + fault.remedy };
    co_await send_error_response(error_response);
  }

  // Refuses a request before a server is selected. \param route null if it is not known
  awaitable<void> refuse(IncomingRequestPtr request,
                         const Route* route,
                         const GatewayErrorResponse& error_response)
  {
    record_refusal(*m_context, *request, route, error_response);
    co_await send_error_response(error_response);
  }

  awaitable<void> send_error_response(const GatewayErrorResponse& error_response)
  {
    const std::string body = error_body(error_response);
    http::response_header<> header = make_error_header(error_response, body.size());
    add_connection_close(header);
    ++(error_response.status == 503 ? m_context->counters.refused : m_context->counters.failed);
    const std::string head = format_response_head(header);
    const std::string_view content = m_head_method ? std::string_view() : std::string_view(body);
    co_await write(head, content);
  }

  std::shared_ptr<GatewayContext> m_context;
  beast::tcp_stream m_stream;
  ReadTimer m_read_timer;
  ReadBuffer m_buffer;
  /// The request that is being served; null between requests and before a whole header.
  const IncomingRequest* m_request = nullptr;
  /// The current request while its body is still arriving.
  std::weak_ptr<ForwardedRequest> m_arriving_request;
  /// Cleared when the connection is to be closed after the current request.
  bool m_open = true;
  bool m_head_method = false;
};

} // namespace

awaitable<void>
serve_caller(std::shared_ptr<GatewayContext> context, tcp::socket socket)
{
  const CountedScope counted(context->connections);
  const auto connection = std::make_shared<CallerConnection>(context, std::move(socket));
  co_await connection->run();
}

} // namespace lovagehold
