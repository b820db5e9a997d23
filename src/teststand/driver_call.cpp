#include "driver_call.h"

#include "content.h"
#include "lovagehold/address.h"

#include <boost/asio/steady_timer.hpp>

namespace lovagehold {

namespace {

constexpr std::size_t kDigestDigits = 16;
constexpr std::size_t kMaxIdlePerAddress = 256;

// One attempt of a request at one address.
class Attempt
{
public:
  Attempt(const DriverOptions& options,
          IdleConnections& pool,
          const CallPlan& plan,
          std::string address)
    : m_options(options)
    , m_pool(pool)
    , m_plan(plan)
    , m_address(std::move(address))
    , m_digest(plan.id)
  {
  }

  awaitable<CallRecord> run()
  {
    CallRecord record{ .id = m_plan.id, .key = m_plan.key };
    const bool connected = co_await connect();
    if (!connected) {
      record.outcome = CallOutcome::NoConnection;
      co_return record;
    }
    m_stream->expires_after(m_options.request_timeout);
    co_await send();
    // Read the response even if sending failed: a host may respond before the end of the upload and
    // then stop reading.
    co_await receive(record);
    record.digest = m_digest.text();
    co_return record;
  }

private:
  awaitable<bool> connect()
  {
    m_stream = m_pool.take(m_address);
    if (m_stream) {
      co_return true;
    }
    m_stream = std::make_shared<beast::tcp_stream>(co_await asio::this_coro::executor);
    boost::system::error_code error;
    m_stream->expires_after(std::chrono::seconds(2));
    co_await m_stream->async_connect(*parse_endpoint(m_address), capture(error));
    if (!error) {
      m_stream->socket().set_option(tcp::no_delay(true), error);
    }
    co_return !error;
  }

  std::string make_head() const
  {
    const StreamOptions& stream = *m_plan.stream;
    std::string head = stream.method + " " + stream.target +
                       " HTTP/1.1\r\nHost: " + stream.service + "\r\n" + kServiceHeader + ": " +
                       stream.service + "\r\nStandin-Id: " + m_plan.id + "\r\n";
    if (!m_plan.key.empty()) {
      head += std::string(kKeyHeader) + ": " + m_plan.key + "\r\n";
    }
    if (stream.chunked) {
      head += "Transfer-Encoding: chunked\r\n";
    } else if (m_plan.body_bytes > 0 || stream.method != "GET") {
      head += "Content-Length: " + std::to_string(m_plan.body_bytes) + "\r\n";
    }
    return head + "\r\n";
  }

  awaitable<void> send()
  {
    std::string out = make_head();
    boost::system::error_code error;
    co_await asio::async_write(*m_stream, asio::buffer(out), capture(error));
    const TimePoint start = Clock::now();
    for (std::uint64_t at = 0; !error && at < m_plan.body_bytes; at += kStreamBufferBytes) {
      const auto size = std::min<std::uint64_t>(kStreamBufferBytes, m_plan.body_bytes - at);
      out = make_content(m_plan.content_seed, at, size);
      m_digest.add(out);
      if (m_plan.stream->chunked) {
        const auto chunk = http::make_chunk(asio::buffer(out));
        co_await asio::async_write(*m_stream, chunk, capture(error));
      } else {
        co_await asio::async_write(*m_stream, asio::buffer(out), capture(error));
      }
      co_await pace(start, at + size);
    }
    if (!error && m_plan.stream->chunked) {
      out = "0\r\n\r\n";
      co_await asio::async_write(*m_stream, asio::buffer(out), capture(error));
    }
    m_sent = !error;
  }

  awaitable<void> pace(TimePoint start, std::uint64_t sent)
  {
    const std::uint64_t rate = m_plan.stream->upload_bytes_per_second;
    if (rate == 0) {
      co_return;
    }
    asio::steady_timer timer(m_stream->get_executor(),
                             start + std::chrono::microseconds(sent * 1000000 / rate));
    boost::system::error_code ignored;
    co_await timer.async_wait(capture(ignored));
  }

  awaitable<void> receive(CallRecord& record)
  {
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::uint64_t{ 1 } << 32);
    parser.skip(m_plan.stream->method == "HEAD");
    beast::flat_buffer buffer;
    boost::system::error_code error;
    co_await http::async_read(*m_stream, buffer, parser, capture(error));
    if (error) {
      record.outcome = error == beast::error::timeout ? CallOutcome::Timeout
                       : parser.is_header_done()      ? CallOutcome::Cut
                                                      : CallOutcome::NoResponse;
      m_stream->close();
      co_return;
    }
    const StringResponse response = parser.release();
    record.status = response.result_int();
    record.outcome = classify(response);
    record.request_id = std::string(response[kRequestIdHeader]);
    if (response.keep_alive() && m_sent) {
      m_pool.put(m_address, m_stream);
    } else {
      m_stream->close();
    }
  }

  CallOutcome classify(const StringResponse& response) const
  {
    const beast::string_view outcome = response[kOutcomeHeader];
    if (outcome == "not-run") {
      return CallOutcome::NotRun;
    }
    if (outcome == "unknown") {
      return CallOutcome::Unknown;
    }
    if (outcome == "in-progress") {
      return CallOutcome::InProgress;
    }
    if (outcome == "refused") {
      return CallOutcome::Refused;
    }
    if (response.result_int() >= 300) {
      return CallOutcome::Error;
    }
    if (!has_expected_body(response.body())) {
      return CallOutcome::Mismatch;
    }
    return outcome == "done" ? CallOutcome::Stored : CallOutcome::Ok;
  }

  bool has_expected_body(const std::string& body) const
  {
    if (m_plan.stream->method == "HEAD") {
      return true;
    }
    const std::string digest = m_digest.text();
    return body.size() >= kDigestDigits && body.compare(0, kDigestDigits, digest) == 0 &&
           body.compare(kDigestDigits,
                        std::string::npos,
                        make_content(digest, kDigestDigits, body.size() - kDigestDigits)) == 0;
  }

  const DriverOptions& m_options;
  IdleConnections& m_pool;
  const CallPlan& m_plan;
  std::string m_address;
  ContentDigest m_digest;
  std::shared_ptr<beast::tcp_stream> m_stream;
  bool m_sent = false;
};

// A request with a key runs at most once, so that it may be retried under the same key after any
// failure. Only an outcome recorded as unknown is final: every retry would return it again.
bool
may_retry(const CallRecord& record)
{
  switch (record.outcome) {
    case CallOutcome::Ok:
    case CallOutcome::Stored:
    case CallOutcome::InProgress:
    case CallOutcome::Mismatch:
    case CallOutcome::Dropped:
      return false;
    case CallOutcome::Unknown:
      return record.key.empty();
    case CallOutcome::Error:
      return record.status >= 500;
    default:
      return true;
  }
}

} // namespace

std::shared_ptr<beast::tcp_stream>
IdleConnections::take(const std::string& address)
{
  auto& idle = m_idle[address];
  while (!idle.empty()) {
    auto stream = idle.back();
    idle.pop_back();
    // A host that shuts down closes its idle connections, so check that this one is still open.
    boost::system::error_code error;
    char byte = 0;
    stream->socket().non_blocking(true, error);
    stream->socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block) {
      return stream;
    }
  }
  return nullptr;
}

void
IdleConnections::put(const std::string& address, std::shared_ptr<beast::tcp_stream> stream)
{
  auto& idle = m_idle[address];
  if (idle.size() < kMaxIdlePerAddress) {
    idle.push_back(std::move(stream));
  }
}

awaitable<CallRecord>
run_call(const DriverOptions& options,
         AddressCache& address_cache,
         IdleConnections& pool,
         CallPlan plan)
{
  CallRecord record{ .id = plan.id, .key = plan.key, .outcome = CallOutcome::NoConnection };
  unsigned attempts = 0;
  while (attempts <= options.retries) {
    const std::vector<std::string> addresses = co_await address_cache.find(plan.stream->service);
    ++attempts;
    if (!addresses.empty()) {
      Attempt attempt(options, pool, plan, addresses[(attempts - 1) % addresses.size()]);
      CallRecord result = co_await attempt.run();
      record = std::move(result);
    }
    record.attempts = attempts;
    if (!may_retry(record)) {
      break;
    }
    if (options.retry_delay.count() > 0) {
      asio::steady_timer pause(co_await asio::this_coro::executor);
      pause.expires_after(options.retry_delay);
      co_await pause.async_wait(asio::use_awaitable);
    }
    if (record.outcome == CallOutcome::NoConnection) {
      address_cache.invalidate(plan.stream->service);
    }
  }
  co_return record;
}

} // namespace lovagehold
