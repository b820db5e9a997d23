#include "request_queue.h"

namespace lovagehold {

namespace {

// Averages over about 200 dispatches, a small part of a second at 1,000 requests a second.
constexpr double kShareWeight = 0.01;

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
  if (patient || !m_patient.empty()) {
    m_patient_share += kShareWeight * ((patient ? 1.0 : 0.0) - m_patient_share);
  }
  // Urgent dispatches count only while a patient request waits, so that an idle time of the
  // patient class gives it no claim on the next slot.
  m_urgent_in_a_row = patient || m_patient.empty() ? 0 : m_urgent_in_a_row + 1;
}

std::size_t
RequestQueue::dispatches_before(const RequestInfo& request, std::uint64_t arrival) const
{
  if (is_patient(request)) {
    const std::size_t ahead = m_patient.order_of_key(arrival);
    // Urgent requests that arrive later overtake, so the rate of the recent past counts.
    const double share = std::max(m_patient_share, 1.0 / kPatientInterval);
    return static_cast<std::size_t>(static_cast<double>(ahead) / share);
  }
  const std::size_t ahead = m_urgent.order_of_key({ request.deadline, arrival });
  return ahead + std::min(m_patient.size(), ahead / (kPatientInterval - 1));
}

} // namespace lovagehold
