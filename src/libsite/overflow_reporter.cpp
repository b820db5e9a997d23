#include "overflow_reporter.h"

namespace lovagehold {

namespace {

constexpr std::chrono::milliseconds kReportInterval{ 1000 };

} // namespace

OverflowReporter::OverflowReporter(boost::asio::io_context& context,
                                   Gateway& gateway,
                                   std::string domain,
                                   Send send)
  : m_gateway(gateway)
  , m_domain(std::move(domain))
  , m_send(std::move(send))
  , m_timer(context)
{
}

void
OverflowReporter::start()
{
  m_timer.expires_after(kReportInterval);
  m_timer.async_wait([this](auto error) {
    if (!error) {
      send_report(Clock::now());
      start();
    }
  });
}

void
OverflowReporter::receive(const DomainShares& shares, TimePoint now)
{
  m_gateway.set_domain_shares(shares.services, now - shares.age);
}

// The last report before a pause is empty: a host without requests differs from one that is cut
// off. The control host followed before gets one too, so that no report counts twice.
void
OverflowReporter::send_report(TimePoint now)
{
  auto loads = m_gateway.take_domain_loads(now);
  if (!m_reported_to.empty() && (m_reported_to != m_control || loads.empty())) {
    m_send(std::exchange(m_reported_to, {}), DomainLoad{});
  }
  if (!m_control.empty() && !loads.empty()) {
    DomainLoad report;
    report.loads[m_domain] = std::move(loads);
    m_send(m_control, report);
    m_reported_to = m_control;
  }
}

} // namespace lovagehold
