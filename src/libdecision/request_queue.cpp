#include "request_queue.h"

namespace lovagehold {

namespace {

// Weight of a new sample: averages over about 200 dispatches, which is a fraction of a second at
// 1,000 requests/s.
constexpr double kShareSmoothing = 0.01;

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
  if (patient_waits && (m_urgent.empty() || m_urgent_since_patient + 1 >= kPatientInterval)) {
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
    m_patient_share += kShareSmoothing * ((patient ? 1.0 : 0.0) - m_patient_share);
  }
  // Urgent dispatches count only while a patient request waits, so that a patient request that
  // arrives after a quiet period doesn't get the next slot at once.
  m_urgent_since_patient = patient || m_patient.empty() ? 0 : m_urgent_since_patient + 1;
}

std::size_t
RequestQueue::dispatches_before(const RequestInfo& request, std::uint64_t arrival) const
{
  if (is_patient(request)) {
    const std::size_t ahead = m_patient.order_of_key(arrival);
    // Urgent requests that arrive later overtake patient ones, so the estimate uses the recent
    // rate.
    const double share = std::max(m_patient_share, 1.0 / kPatientInterval);
    return static_cast<std::size_t>(static_cast<double>(ahead) / share);
  }
  const std::size_t ahead = m_urgent.order_of_key({ request.deadline, arrival });
  return ahead + std::min(m_patient.size(), ahead / (kPatientInterval - 1));
}

} // namespace lovagehold
