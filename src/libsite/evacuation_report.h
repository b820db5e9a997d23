#pragma once

#include "lovagehold/event_log.h"
#include "lovagehold/state_machine.h"

namespace lovagehold {

/// The evacuations that a host applies. Logs a line for each order that changes.
class EvacuationReport
{
public:
  /// \param event name of the lines
  EvacuationReport(EventLog& log, std::string event)
    : m_log(log)
    , m_event(std::move(event))
  {
  }

  /// Takes over the evacuations of the state.
  /// \return whether they differ from those of the last call
  bool update(const StateMachine& state);

  const Evacuations& evacuations() const { return m_evacuations; }

private:
  EventLog& m_log;
  std::string m_event;
  Evacuations m_evacuations;
};

} // namespace lovagehold
