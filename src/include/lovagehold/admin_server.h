#pragma once

#include "lovagehold/error.h"
#include "lovagehold/event_log.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace lovagehold {

struct AdminRequest
{
  std::string method;
  /// Path without the query.
  std::string path;
  std::string query;
  std::string body;
};

/// \return the percent-decoded value of a query parameter; empty if it is missing
std::string query_value(const std::string& query, const std::string& name);

struct AdminResponse
{
  unsigned status = 200;
  std::string content_type = "application/json";
  std::string body;
};

struct AdminServerOptions
{
  /// Open connections at most. If there are more, the one that has been waiting for a request for
  /// the longest time is closed.
  std::size_t max_connections = 256;
};

/// HTTP/1.1 server for lovagectl, metrics scrapers and the calls of a deployment. Runs on the given
/// io_context. The memory for all its connections is bounded: if the bodies of all requests exceed
/// 32 MiB together, further ones are refused with 503 and Retry-After.
class AdminServer
{
public:
  using Reply = std::function<void(AdminResponse)>;
  /// Called on the context's thread. The reply may be sent later, but from the same thread.
  using Handler = std::function<void(const AdminRequest&, Reply)>;

  /// \param log gets the requests that can't be read, and exceptions of the handler, which end only
  /// the call
  AdminServer(boost::asio::io_context& context,
              Handler handler,
              EventLog& log,
              AdminServerOptions options = {});
  ~AdminServer();

  /// Listens on "IP:port".
  Result<void> start(const std::string& address);

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace lovagehold
