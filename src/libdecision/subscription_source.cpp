#include "lovagehold/subscription_source.h"

#include "lovagehold/home_selector.h"

#include <tuple>

namespace lovagehold {

std::string
select_source(const std::string& subscriber,
              const std::string& failure_domain,
              const std::vector<ControlAddress>& candidates)
{
  const auto rank = [&](const ControlAddress& candidate) {
    return std::tuple(candidate.failure_domain == failure_domain,
                      rendezvous_weight(subscriber, candidate.address),
                      candidate.address);
  };
  const ControlAddress* best = nullptr;
  for (const ControlAddress& candidate : candidates) {
    if (best == nullptr || rank(*best) < rank(candidate)) {
      best = &candidate;
    }
  }
  return best == nullptr ? "" : best->address;
}

} // namespace lovagehold
