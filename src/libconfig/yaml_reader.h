#pragma once

#include "lovagehold/config_parser.h"

#include <functional>
#include <map>
#include <optional>
#include <yaml-cpp/yaml.h>

namespace lovagehold {

/// Strict reader of one YAML file. Reports every invalid value and continues with the next one; the
/// functions that read a value return nullopt after reporting a mistake.
class YamlReader
{
public:
  using FieldHandler = std::function<void(const std::string& path, const YAML::Node& value)>;
  using FieldHandlers = std::map<std::string, FieldHandler>;

  /// \param mistakes receives the mistakes; must outlive the reader
  YamlReader(std::string file, std::vector<Mistake>& mistakes);

  /// Parses the text. \return nullopt if it is empty or not valid YAML
  std::optional<YAML::Node> load(const std::string& content);

  /// Adds a mistake at the node.
  void report(const YAML::Node& node,
              const std::string& path,
              const std::string& message,
              const std::string& remedy);

  /// Calls the handler of each key. Reports a node that is not a map, unknown keys (suggesting the
  /// closest known one) and duplicate keys.
  void read_map(const std::string& path, const YAML::Node& node, const FieldHandlers& handlers);

  /// Calls the handler for each entry of a map whose keys are names chosen by operators.
  void read_names(const std::string& path, const YAML::Node& node, const FieldHandler& handler);

  /// Calls the handler for each element of a list.
  void read_list(const std::string& path, const YAML::Node& node, const FieldHandler& handler);

  std::optional<std::string> read_string(const std::string& path, const YAML::Node& node);
  std::optional<std::uint64_t> read_integer(const std::string& path,
                                            const YAML::Node& node,
                                            std::uint64_t minimum,
                                            std::uint64_t maximum);
  std::optional<double> read_share(const std::string& path, const YAML::Node& node, double maximum);
  std::optional<bool> read_boolean(const std::string& path, const YAML::Node& node);
  /// Reads a whole number with one of the units us, ms, s, m, h.
  std::optional<std::chrono::microseconds> read_duration(const std::string& path,
                                                         const YAML::Node& node,
                                                         std::chrono::microseconds minimum,
                                                         std::chrono::microseconds maximum);
  /// Reads a value that must be one of the words.
  std::optional<std::string> read_word(const std::string& path,
                                       const YAML::Node& node,
                                       const std::vector<std::string>& words);
  /// Reads an "IP:port" address.
  std::optional<std::string> read_address(const std::string& path, const YAML::Node& node);
  /// Checks that the name has 1 to 63 characters: letters, digits, '-', '_' and, if allowed, '.'.
  /// \return whether it is valid; if not, a mistake is reported at the node
  bool check_name(const std::string& path,
                  const YAML::Node& node,
                  const std::string& value,
                  bool dots_allowed);

private:
  using EntryHandler = std::function<void(const std::string& key, const YAML::const_iterator&)>;
  void read_entries(const std::string& path, const YAML::Node& node, const EntryHandler& handle);
  std::optional<std::string> read_scalar(const std::string& path,
                                         const YAML::Node& node,
                                         const std::string& expected);

  std::string m_file;
  std::vector<Mistake>& m_mistakes;
};

/// \return the known text with the smallest edit distance to \p given; empty if none is close
std::string closest_match(const std::string& given, const std::vector<std::string>& known);

/// \return the duration in the largest unit that is exact, for example "250ms" or "24h"
std::string format_duration(std::chrono::microseconds duration);

} // namespace lovagehold
