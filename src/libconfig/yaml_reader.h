#pragma once

#include "lovagehold/config_parser.h"

#include <functional>
#include <map>
#include <optional>
#include <yaml-cpp/yaml.h>

namespace lovagehold {

/// Reads one YAML file strictly: reports every value that is wrong and goes on with the next. The
/// reading functions return nothing after they have reported a mistake.
class YamlReader
{
public:
  using Field = std::function<void(const std::string& path, const YAML::Node& value)>;
  using Fields = std::map<std::string, Field>;

  /// \param mistakes receives the mistakes; outlives the reader
  YamlReader(std::string file, std::vector<Mistake>& mistakes);

  /// Parses the text. \return nothing if it is no YAML or empty.
  std::optional<YAML::Node> load(const std::string& content);

  /// Adds a mistake at the node.
  void report(const YAML::Node& node,
              const std::string& path,
              const std::string& message,
              const std::string& remedy);

  /// Calls the field of each key. Reports nodes that are no map, keys that are not among the
  /// fields (with the nearest known key) and keys that are given twice.
  void read_map(const std::string& path, const YAML::Node& node, const Fields& fields);

  /// Calls the field for each entry of a map whose keys are names chosen by operators.
  void read_names(const std::string& path, const YAML::Node& node, const Field& field);

  /// Calls the field for each element of a list.
  void read_list(const std::string& path, const YAML::Node& node, const Field& field);

  std::optional<std::string> text(const std::string& path, const YAML::Node& node);
  std::optional<std::uint64_t> integer(const std::string& path,
                                       const YAML::Node& node,
                                       std::uint64_t least,
                                       std::uint64_t most);
  std::optional<double> share(const std::string& path, const YAML::Node& node, double most);
  std::optional<bool> boolean(const std::string& path, const YAML::Node& node);
  /// Reads a number with one of the units us, ms, s, m, h.
  std::optional<std::chrono::microseconds> duration(const std::string& path,
                                                    const YAML::Node& node,
                                                    std::chrono::microseconds least,
                                                    std::chrono::microseconds most);
  /// Reads one of the words given.
  std::optional<std::string> word(const std::string& path,
                                  const YAML::Node& node,
                                  const std::vector<std::string>& words);
  /// Reads an "IP:port" address.
  std::optional<std::string> address(const std::string& path, const YAML::Node& node);
  /// Reads a name of letters, digits, '-', '_' and, if allowed, '.'.
  bool name(const std::string& path,
            const YAML::Node& node,
            const std::string& value,
            bool dots_allowed);

private:
  using EntryHandler = std::function<void(const std::string& key, const YAML::const_iterator&)>;
  void read_entries(const std::string& path, const YAML::Node& node, const EntryHandler& handle);
  std::optional<std::string> scalar(const std::string& path,
                                    const YAML::Node& node,
                                    const std::string& expected);

  std::string m_file;
  std::vector<Mistake>& m_mistakes;
};

/// \return the text that is at most a few edits away from \p given; empty if none is.
std::string nearest(const std::string& given, const std::vector<std::string>& known);

/// \return the shortest exact form, for example "250ms" or "24h".
std::string format_duration(std::chrono::microseconds duration);

} // namespace lovagehold
