#pragma once

#include "simulation.h"

#include <string>

namespace lovagehold::simulation {

struct NamedPolicy
{
  std::string name;
  MakePolicy make;
};

/// Policies under which each entry host chooses the servers for its own requests.
MakePolicy make_random();
MakePolicy make_round_robin();
/// The server with the fewest requests in flight from this entry host.
MakePolicy make_least_requests();
/// The less loaded of two random servers (Mitzenmacher 2001). Servers report their load every
/// 100 ms.
MakePolicy make_two_choices();
/// The server with the fewest requests in flight among those probed recently, after Wydrowski et
/// al. 2024 (Prequal): one probe for every second request, a pool of 16 probe results that expire
/// after 1 s.
MakePolicy make_probing();

/// Reference for comparison: one queue that knows the current state of all servers and uses the
/// fastest one with a free slot. Only its requests and responses are subject to the network delay.
MakePolicy make_central_queue();

/// The Dispatcher of libdecision at the owner of the service; other hosts relay requests to it.
/// \param in_transit DispatcherOptions::requests_in_transit
MakePolicy make_owner(bool hedging, unsigned in_transit = 0);

} // namespace lovagehold::simulation
