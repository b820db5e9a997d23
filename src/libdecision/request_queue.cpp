#include "request_queue.h"

namespace lovagehold {

namespace {

bool
is_patient(const RequestInfo& request)
{
  return request.request_class == RequestClass::Patient;
}

} // namespace

void
RequestQueue::push(const RequestInfo& request, std::uint64_t arrival)
{
  if (is_patient(request)) {
    m_patient.insert({ arrival, request.id });
  } else {
    m_urgent.insert({ { request.deadline, arrival }, request.id });
  }
}

bool
RequestQueue::remove(const RequestInfo& request, std::uint64_t arrival)
{
  return is_patient(request) ? m_patient.erase(arrival)
                             : m_urgent.erase({ request.deadline, arrival });
}

std::optional<RequestId>
RequestQueue::next(bool patient_allowed) const
{
  const bool patient_waits = patient_allowed && !m_patient.empty();
  if (patient_waits && (m_urgent.empty() || m_urgent_in_a_row + 1 >= kPatientInterval)) {
    return m_patient.begin()->second;
  }
  if (m_urgent.empty()) {
    return std::nullopt;
  }
  return m_urgent.begin()->second;
}

void
RequestQueue::dispatched(bool patient)
{
  // Urgent dispatches count only while a patient request waits, so that an idle time of the
  // patient class gives it no claim on the next slot.
  m_urgent_in_a_row = patient || m_patient.empty() ? 0 : m_urgent_in_a_row + 1;
}

std::size_t
RequestQueue::dispatches_before(const RequestInfo& request, std::uint64_t arrival) const
{
  if (is_patient(request)) {
    const std::size_t ahead = m_patient.order_of_key(arrival);
    return std::min(m_urgent.size() + ahead, (ahead + 1) * kPatientInterval - 1);
  }
  const std::size_t ahead = m_urgent.order_of_key({ request.deadline, arrival });
  return ahead + std::min(m_patient.size(), ahead / (kPatientInterval - 1));
}

} // namespace lovagehold
