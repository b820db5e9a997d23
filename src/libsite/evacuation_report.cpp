#include "evacuation_report.h"

#include <utility>

namespace lovagehold {

bool
EvacuationReport::update(const StateMachine& state)
{
  if (state.evacuations() == m_evacuations) {
    return false;
  }
  const Evacuations before = std::exchange(m_evacuations, state.evacuations());
  const auto write = [this](const std::string& domain, const char* order, std::uint64_t index) {
    m_log.info(m_event,
               { { "domain", domain }, { "order", order }, { "index", std::to_string(index) } });
  };
  for (const auto& [domain, index] : m_evacuations) {
    const auto known = before.find(domain);
    if (known == before.end() || known->second != index) {
      write(domain, "evacuate", index);
    }
  }
  for (const auto& [domain, index] : before) {
    if (!m_evacuations.contains(domain)) {
      // The index of the withdrawal is not part of the state, which is at least as new.
      write(domain, "end", state.applied_index());
    }
  }
  return true;
}

} // namespace lovagehold
