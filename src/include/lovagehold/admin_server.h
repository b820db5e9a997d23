#pragma once

#include "lovagehold/error.h"

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

/// HTTP/1.1 server for lovagectl and metrics scrapers. Runs on the given io_context.
class AdminServer
{
public:
  using Reply = std::function<void(AdminResponse)>;
  /// Called on the context's thread. The reply may be sent later, but from the same thread.
  using Handler = std::function<void(const AdminRequest&, Reply)>;

  AdminServer(boost::asio::io_context& context, Handler handler);
  ~AdminServer();

  /// Listens on "IP:port".
  Result<void> start(const std::string& address);

private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

} // namespace lovagehold
