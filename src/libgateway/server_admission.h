#pragma once

#include "error_response.h"
#include "gateway_context.h"

namespace lovagehold {

/// Obtains the permission to send one request to a server that takes only some: a permit for a
/// limited server, the share of cold servers for a cold one. Not thread-safe.
class ServerAdmission
{
public:
  /// \param config null if the service is not configured; cold servers are then like others
  ServerAdmission(GatewayContext& context,
                  ServiceName service,
                  std::shared_ptr<const RoutedService> config);

  /// Asks for a permit for a limited server and waits until it is valid.
  /// \param tried servers to exclude
  /// \param max_cost upper limit of the expected cost of a request
  /// \param latest latest time at which the request may be sent; no permit is asked for if it has
  /// passed
  /// \return whether take_server() returns a server that the request may be sent to
  awaitable<bool> obtain_permit(const std::set<ServerId>& tried, double max_cost, TimePoint latest);

  /// Asks the share of cold servers to admit the request. No effect if \p latest has passed.
  /// \return whether take_server() returns a server that the request may be sent to
  bool obtain_share(const std::set<ServerId>& tried, TimePoint latest, TimePoint now);

  /// \return the server to which the next attempt is permitted, once for each permission; nothing
  /// if there is none or the server can't be called any more
  std::optional<ServerInfo> take_server(TimePoint now);

  /// \return why no server of the service takes the request
  const char* describe_refusal(TimePoint now) const;
  RefusalCause refusal_cause(TimePoint now) const;

private:
  ServerSelector& selector(TimePoint now);

  GatewayContext& m_context;
  ServiceName m_service;
  std::shared_ptr<const RoutedService> m_config;
  /// Server to which the next attempt is permitted; empty if there is none.
  ServerId m_server;
  /// The share of cold servers has admitted the request to it.
  bool m_share_taken = false;
  /// The request has waited for a cold server.
  bool m_has_waited = false;
};

} // namespace lovagehold
