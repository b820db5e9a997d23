#include "address_cache.h"

#include "lovagehold/address.h"

#include <nlohmann/json.hpp>

namespace lovagehold {

namespace {

constexpr std::chrono::seconds kQueryTimeout{ 2 };

} // namespace

AddressCache::AddressCache(const DriverOptions& options)
  : m_options(options)
{
}

awaitable<std::vector<std::string>>
AddressCache::find(std::string service)
{
  if (!m_options.direct.empty()) {
    co_return std::vector<std::string>{ m_options.direct };
  }
  for (const std::string& entry : m_options.entries) {
    const auto cached = m_cached.find(service);
    if (cached != m_cached.end() && Clock::now() < cached->second.valid_until) {
      break;
    }
    co_await query_entry(entry, service);
  }
  const auto known = m_cached.find(service);
  co_return known == m_cached.end() ? std::vector<std::string>() : known->second.addresses;
}

awaitable<bool>
AddressCache::query_entry(std::string entry, std::string service)
{
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  StringRequest request(http::verb::get, "/.lovagehold/where?service=" + service, 11);
  request.set(http::field::host, entry);
  StringResponse response;
  beast::flat_buffer buffer;
  boost::system::error_code error;
  stream.expires_after(kQueryTimeout);
  co_await stream.async_connect(*parse_endpoint(entry), capture(error));
  if (!error) {
    co_await http::async_write(stream, request, capture(error));
  }
  if (!error) {
    co_await http::async_read(stream, buffer, response, capture(error));
  }
  if (error || response.result() != http::status::ok) {
    co_return false;
  }
  const nlohmann::json body = nlohmann::json::parse(response.body());
  m_cached[service] = { .addresses = body.at("addresses").get<std::vector<std::string>>(),
                        .valid_until =
                          Clock::now() + std::chrono::seconds(body.at("keep_seconds").get<int>()) };
  co_return true;
}

} // namespace lovagehold
