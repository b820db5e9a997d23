#pragma once

#include "lovagehold/types.h"

#include <string>
#include <vector>

namespace lovagehold {

/// Cluster address of a control host.
struct ControlAddress
{
  std::string address;
  std::string failure_domain;

  bool operator==(const ControlAddress& other) const
  {
    return address == other.address && failure_domain == other.failure_domain;
  }
};

/// Selects the control host that a subscriber follows, so that subscribers spread evenly over the
/// control hosts although a starting one knows only a few of them. Uses rendezvous hashing: the
/// loss of a control host moves only its own subscribers. \param subscriber name or address of the
/// subscriber \param failure_domain of the subscriber \param candidates control hosts that are
/// known to run, in any order \return address of a candidate of the subscriber's failure domain if
/// there is one, of any other candidate otherwise; empty without candidates
std::string select_source(const std::string& subscriber,
                          const std::string& failure_domain,
                          const std::vector<ControlAddress>& candidates);

} // namespace lovagehold
