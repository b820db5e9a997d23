#include "lovagehold/settings.h"

#include "yaml_reader.h"

#include <algorithm>
#include <set>

namespace lovagehold {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kMaxThreads = 64;
constexpr std::uint64_t kMaxConnections = 1'000'000;
constexpr std::uint64_t kKibibyte = std::uint64_t{ 1 } << 10;
constexpr std::uint64_t kMebibyte = std::uint64_t{ 1 } << 20;
constexpr std::uint64_t kTebibyte = std::uint64_t{ 1 } << 40;

template<class Target, class Value>
void
assign_if_set(const std::optional<Value>& value, Target& target)
{
  if (value) {
    target = static_cast<Target>(*value);
  }
}

void
assign_millis_if_set(const std::optional<std::chrono::microseconds>& value,
                     std::chrono::milliseconds& target)
{
  if (value) {
    target = std::chrono::duration_cast<std::chrono::milliseconds>(*value);
  }
}

// Reads one settings file and records which keys are present, also those with an invalid value.
class SettingsReader
{
public:
  SettingsReader(const std::string& file, SettingsOutcome& outcome)
    : m_settings(outcome.settings)
    , m_reader(file, outcome.mistakes)
  {
  }

  void read(const std::string& content)
  {
    const auto root = m_reader.load(content);
    if (!root) {
      return;
    }
    m_root = *root;
    m_reader.read_map("", m_root, top_level_handlers());
    if (m_root.IsMap()) {
      check_required();
      check_control();
    }
  }

private:
  YamlReader::FieldHandlers top_level_handlers()
  {
    return {
      { "host",
        [this](const auto& key_path, const auto& value) {
          read_name(key_path, value, m_settings.host);
        } },
      { "failure_domain",
        [this](const auto& key_path, const auto& value) {
          read_name(key_path, value, m_settings.failure_domain);
        } },
      { "roles", [this](const auto& key_path, const auto& value) { read_roles(key_path, value); } },
      { "listen",
        [this](const auto& key_path, const auto& value) {
          mark_given(key_path);
          m_reader.read_map(key_path,
                            value,
                            { { "callers", address_handler(m_settings.caller_address) },
                              { "cluster", address_handler(m_settings.cluster_address) },
                              { "admin", address_handler(m_settings.admin_address) } });
        } },
      { "data_folder",
        [this](const auto& key_path, const auto& value) {
          mark_given(key_path);
          assign_if_set(m_reader.read_string(key_path, value), m_settings.data_folder);
        } },
      { "control",
        [this](const auto& key_path, const auto& value) { read_control(key_path, value); } },
      { "threads",
        [this](const auto& key_path, const auto& value) {
          assign_if_set(m_reader.read_integer(key_path, value, 1, kMaxThreads), m_settings.threads);
        } },
      { "log_level",
        [this](const auto& key_path, const auto& value) {
          assign_if_set(m_reader.read_word(key_path, value, { "debug", "info", "warn", "error" }),
                        m_settings.log_level);
        } },
      { "shutdown_grace", shutdown_time_handler(m_settings.shutdown_grace) },
      { "shutdown_limit", shutdown_time_handler(m_settings.shutdown_limit) },
      { "limits",
        [this](const auto& key_path, const auto& value) { read_limits(key_path, value); } },
    };
  }

  YamlReader::FieldHandler shutdown_time_handler(std::chrono::milliseconds& target)
  {
    return [this, &target](const auto& key_path, const auto& value) {
      assign_millis_if_set(m_reader.read_duration(key_path, value, 0ms, 1h), target);
    };
  }

  void mark_given(const std::string& path) { m_given.insert(path); }

  bool given(const std::string& path) const { return m_given.count(path) != 0; }

  YamlReader::FieldHandler address_handler(std::string& target)
  {
    return [this, &target](const auto& key_path, const auto& value) {
      mark_given(key_path);
      assign_if_set(m_reader.read_address(key_path, value), target);
    };
  }

  void read_name(const std::string& path, const YAML::Node& node, std::string& target)
  {
    mark_given(path);
    const auto value = m_reader.read_string(path, node);
    if (value && m_reader.check_name(path, node, *value, true)) {
      target = *value;
    }
  }

  void read_roles(const std::string& path, const YAML::Node& node)
  {
    mark_given(path);
    m_reader.read_list(path, node, [this](const auto& key_path, const auto& value) {
      const auto role = m_reader.read_word(key_path, value, { "entry", "control" });
      m_settings.entry_role = m_settings.entry_role || role == "entry";
      m_settings.control_role = m_settings.control_role || role == "control";
    });
    if (node.IsSequence() && node.size() == 0) {
      m_reader.report(node, path, "is empty", "write [entry], [control] or [entry, control]");
    }
  }

  void read_control(const std::string& path, const YAML::Node& node)
  {
    mark_given(path);
    m_reader.read_list(
      path, node, [this](const auto& key_path, const auto& value) { read_peer(key_path, value); });
  }

  void read_peer(const std::string& path, const YAML::Node& node)
  {
    ControlPeer peer;
    m_reader.read_map(
      path,
      node,
      { { "id",
          [&](const auto& key_path, const auto& value) { read_name(key_path, value, peer.id); } },
        { "address", address_handler(peer.cluster_address) } });
    if (!node.IsMap()) {
      return;
    }
    for (const char* key : { "id", "address" }) {
      if (!given(path + "." + key)) {
        m_reader.report(
          node, path + "." + key, "is missing", "write {id: HOST, address: \"IP:port\"}");
      }
    }
    for (const ControlPeer& other : m_settings.control_peers) {
      if (!peer.id.empty() && other.id == peer.id) {
        m_reader.report(node, path + ".id", "'" + peer.id + "' is listed twice", "remove one");
      }
      if (!peer.cluster_address.empty() && other.cluster_address == peer.cluster_address) {
        m_reader.report(node,
                        path + ".address",
                        "'" + peer.cluster_address + "' is also the address of " + other.id,
                        "give each control host its own address");
      }
    }
    m_settings.control_peers.push_back(std::move(peer));
  }

  void read_limits(const std::string& path, const YAML::Node& node)
  {
    CallerLimits& limits = m_settings.limits;
    m_reader.read_map(
      path,
      node,
      { { "header_bytes",
          [&](const auto& key_path, const auto& value) {
            assign_if_set(m_reader.read_integer(key_path, value, kKibibyte, kMebibyte),
                          limits.header_bytes);
          } },
        { "body_bytes",
          [&](const auto& key_path, const auto& value) {
            assign_if_set(m_reader.read_integer(key_path, value, kKibibyte, kTebibyte),
                          limits.body_bytes);
          } },
        { "connections",
          [&](const auto& key_path, const auto& value) {
            assign_if_set(m_reader.read_integer(key_path, value, 1, kMaxConnections),
                          limits.connections);
          } },
        { "idle",
          [&](const auto& key_path, const auto& value) {
            assign_millis_if_set(m_reader.read_duration(key_path, value, 100ms, 1h), limits.idle);
          } },
        { "header_timeout", [&](const auto& key_path, const auto& value) {
           assign_millis_if_set(m_reader.read_duration(key_path, value, 100ms, 1h),
                                limits.header_timeout);
         } } });
  }

  void require(const std::string& path, const std::string& remedy)
  {
    if (!given(path)) {
      m_reader.report(m_root, path, "is missing", remedy);
    }
  }

  void check_required()
  {
    require("host", "name this host, for example 'host: host-1'");
    require("failure_domain", "name the zone of this host, for example 'failure_domain: domain-1'");
    require("roles", "write [entry], [control] or [entry, control]");
    require("listen.cluster", "write the IP:port at which the other hosts reach this one");
    require("listen.admin", "write the IP:port that lovagectl uses");
    if (m_settings.entry_role) {
      require("listen.callers", "write the IP:port that callers use, or remove the role entry");
    }
    if (m_settings.control_role) {
      require("data_folder", "name a folder on a disk; the role control keeps its log there");
    }
    require("control", "list the control hosts as {id: HOST, address: \"IP:port\"}");
    check_distinct_addresses();
  }

  void check_distinct_addresses()
  {
    std::map<std::string, std::string> used;
    for (const auto& [path, value] : std::vector<std::pair<std::string, std::string>>{
           { "listen.callers", m_settings.caller_address },
           { "listen.cluster", m_settings.cluster_address },
           { "listen.admin", m_settings.admin_address } }) {
      const auto [first, inserted] = used.emplace(value, path);
      if (!value.empty() && !inserted) {
        m_reader.report(m_root["listen"],
                        path,
                        "'" + value + "' is also " + first->second,
                        "use a port for each listener");
      }
    }
  }

  void check_control()
  {
    if (!given("control") || !m_root["control"].IsSequence()) {
      return;
    }
    const auto& peers = m_settings.control_peers;
    const YAML::Node node = m_root["control"];
    if (node.size() == 0) {
      m_reader.report(node, "control", "is empty", "list the control hosts, 3 or 5 of them");
      return;
    }
    if (peers.empty()) {
      return;
    }
    if (peers.size() % 2 == 0) {
      m_reader.report(node,
                      "control",
                      "lists " + std::to_string(peers.size()) +
                        " hosts; an even number tolerates no more failures than one host less",
                      "list 1, 3 or 5 hosts");
    }
    const auto self = std::find_if(
      peers.begin(), peers.end(), [this](const auto& peer) { return peer.id == m_settings.host; });
    if (m_settings.control_role && !m_settings.host.empty() && self == peers.end()) {
      m_reader.report(node,
                      "control",
                      "does not list this host '" + m_settings.host +
                        "', which has the role control",
                      "add {id: " + m_settings.host + ", address: \"IP:port\"} or remove the role");
    }
    if (self == peers.end()) {
      return;
    }
    if (!m_settings.control_role && given("roles")) {
      m_reader.report(node,
                      "control",
                      "lists this host '" + m_settings.host + "', which has no role control",
                      "add control to roles or remove the host from the list");
    }
    if (!self->cluster_address.empty() && !m_settings.cluster_address.empty() &&
        self->cluster_address != m_settings.cluster_address) {
      m_reader.report(node,
                      "control",
                      "gives this host the address " + self->cluster_address +
                        ", but listen.cluster is " + m_settings.cluster_address,
                      "make the two equal");
    }
  }

  Settings& m_settings;
  YamlReader m_reader;
  YAML::Node m_root;
  std::set<std::string> m_given;
};

} // namespace

SettingsOutcome
parse_settings(const std::string& file, const std::string& content)
{
  SettingsOutcome outcome;
  SettingsReader(file, outcome).read(content);
  return outcome;
}

} // namespace lovagehold
