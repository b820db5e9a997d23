#include "lovagehold/address.h"
#include "lovagehold/site.h"

#include <algorithm>

namespace lovagehold {

namespace {

// A longer quarantine would outlast the repair of the servers.
constexpr std::chrono::seconds kMinQuarantine{ 1 };
constexpr std::chrono::seconds kMaxQuarantine = CrashSuspectsOptions{}.max_quarantine;

class SettingsCheck
{
public:
  explicit SettingsCheck(const SiteSettings& settings)
    : m_settings(settings)
  {
  }

  std::vector<Error> run()
  {
    if (m_settings.entry_address.empty() && m_settings.control_address.empty()) {
      add("the host has neither an address for callers nor one for control",
          "give it a role that serves one of them");
    }
    if (!m_settings.control_address.empty() && m_settings.data_folder.empty()) {
      add("a control host has no data folder", "run the control role on hosts with a disk");
    }
    if (m_settings.seeds.empty()) {
      add("no control host is named", "name at least one; the others are learned from it");
    }
    if (m_settings.quarantine < kMinQuarantine || m_settings.quarantine > kMaxQuarantine) {
      add("the quarantine is " + std::to_string(m_settings.quarantine.count()) + " s",
          "choose 1 to " + std::to_string(kMaxQuarantine.count()) + " s");
    }
    check_address("callers", m_settings.entry_address);
    check_address("the readiness check", m_settings.readiness_address);
    check_address("control", m_settings.control_address);
    check_address("the directory", m_settings.directory_address);
    check_address("other hosts", m_settings.cluster_address);
    check_address("metrics", m_settings.metrics_address);
    for (const std::string& seed : m_settings.seeds) {
      check_address("a control host", seed);
    }
    return std::move(m_mistakes);
  }

private:
  void add(std::string message, std::string remedy)
  {
    m_mistakes.push_back({ .kind = ErrorKind::InvalidArgument,
                           .message = std::move(message),
                           .remedy = std::move(remedy) });
  }

  void check_address(const std::string& purpose, const std::string& address)
  {
    if (!address.empty() && !parse_endpoint(address)) {
      add("the address for " + purpose + " is not an IP address with a port: \"" + address + "\"",
          "write it as IP:port");
    }
  }

  const SiteSettings& m_settings;
  std::vector<Error> m_mistakes;
};

} // namespace

AdminServerOptions
admin_options(const SiteSettings& settings)
{
  return { .max_connections = std::max(settings.max_descriptors / 4, std::size_t{ 16 }) };
}

std::vector<Error>
check_settings(const SiteSettings& settings)
{
  return SettingsCheck(settings).run();
}

} // namespace lovagehold
