#pragma once

#include "simulation.h"

#include <string>

namespace lovagehold::simulation {

struct NamedPolicy
{
  std::string name;
  MakePolicy make;
};

/// Each entry host chooses a server for its own requests.
MakePolicy make_random();
MakePolicy make_round_robin();
/// Fewest requests in flight from this entry host.
MakePolicy make_least_requests();
/// The lower reported load of two random servers (Mitzenmacher 2001); servers report every 100 ms.
MakePolicy make_two_choices();
/// Fewest requests in flight among recently probed servers, after Wydrowski et al. 2024 (Prequal):
/// one probe for every second request, a pool of 16 probe results that expire after 1 s.
MakePolicy make_probing();

/// One queue that sees the state of all servers at once and uses the fastest idle one. Its requests
/// still travel to the servers.
MakePolicy make_central_queue();

/// The Dispatcher at the owner of the service; a share of the requests is relayed to it.
/// \param in_transit DispatcherOptions::requests_in_transit
MakePolicy make_owner(bool hedging, unsigned in_transit = 0);

} // namespace lovagehold::simulation
