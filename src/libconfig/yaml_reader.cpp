#include "yaml_reader.h"

#include "lovagehold/address.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <set>
#include <sstream>

namespace lovagehold {

namespace {

using std::chrono::microseconds;

constexpr std::size_t kMaxNameLength = 63;

struct Unit
{
  const char* name;
  std::int64_t micros;
};
constexpr std::array<Unit, 5> kUnits{ {
  { "h", 3'600'000'000 },
  { "m", 60'000'000 },
  { "s", 1'000'000 },
  { "ms", 1'000 },
  { "us", 1 },
} };

std::string
join_path(const std::string& path, const std::string& key)
{
  return path.empty() ? key : path + "." + key;
}

std::string
join_words(const std::vector<std::string>& words)
{
  std::string joined;
  for (const std::string& word : words) {
    joined += (joined.empty() ? "" : ", ") + word;
  }
  return joined;
}

// Levenshtein distance, keeping one row of the matrix.
std::size_t
edit_distance(const std::string& a, const std::string& b)
{
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) {
    row[j] = j;
  }
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t changed = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({ row[j] + 1, row[j - 1] + 1, changed });
    }
  }
  return row[b.size()];
}

template<class Number>
bool
parse_number(const std::string& text, Number& value)
{
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

std::optional<microseconds>
parse_duration(const std::string& text)
{
  const std::size_t digits = text.find_first_not_of("0123456789");
  std::int64_t count = 0;
  if (digits == 0 || digits == std::string::npos || digits > 12 ||
      !parse_number(text.substr(0, digits), count)) {
    return std::nullopt;
  }
  for (const Unit& unit : kUnits) {
    // Clamped so that the product can't overflow; the result still exceeds every limit.
    if (text.substr(digits) == unit.name) {
      return microseconds(std::min(count, INT64_MAX / unit.micros) * unit.micros);
    }
  }
  return std::nullopt;
}

std::string
format_number(double value)
{
  std::ostringstream text;
  text << value;
  return text.str();
}

// \param line 0-based
bool
indented_with_tab(const std::string& content, int line)
{
  std::istringstream lines(content);
  std::string text;
  for (int i = 0; i <= line; ++i) {
    std::getline(lines, text);
  }
  return text.substr(0, text.find_first_not_of(" \t")).find('\t') != std::string::npos;
}

} // namespace

std::string
closest_match(const std::string& given, const std::vector<std::string>& known)
{
  std::string best;
  std::size_t best_distance = std::max<std::size_t>(2, given.size() / 3) + 1;
  for (const std::string& candidate : known) {
    // An abbreviation or extension of a known word is a likely typo even at a large distance.
    const bool prefix = given.size() >= 3 && (candidate.compare(0, given.size(), given) == 0 ||
                                              given.compare(0, candidate.size(), candidate) == 0);
    const std::size_t distance = prefix ? 1 : edit_distance(given, candidate);
    if (distance < best_distance) {
      best = candidate;
      best_distance = distance;
    }
  }
  return best;
}

std::string
format_duration(microseconds duration)
{
  for (const Unit& unit : kUnits) {
    if (duration.count() % unit.micros == 0) {
      return std::to_string(duration.count() / unit.micros) + unit.name;
    }
  }
  return std::to_string(duration.count()) + "us";
}

YamlReader::YamlReader(std::string file, std::vector<Mistake>& mistakes)
  : m_file(std::move(file))
  , m_mistakes(mistakes)
{
}

std::optional<YAML::Node>
YamlReader::load(const std::string& content)
{
  try {
    YAML::Node root = YAML::Load(content);
    if (root.IsDefined() && !root.IsNull()) {
      return root;
    }
    m_mistakes.push_back({ .file = m_file,
                           .message = "the file is empty",
                           .remedy = "compare it with the files in examples/" });
  } catch (const YAML::Exception& exception) {
    m_mistakes.push_back(
      { .file = m_file,
        .line = static_cast<unsigned>(exception.mark.line + 1),
        .message = "not valid YAML: " + exception.msg,
        .remedy = indented_with_tab(content, exception.mark.line)
                    ? "indent with spaces; YAML allows no tabs"
                    : "correct the indentation, quotes or brackets of this line" });
  }
  return std::nullopt;
}

void
YamlReader::report(const YAML::Node& node,
                   const std::string& path,
                   const std::string& message,
                   const std::string& remedy)
{
  m_mistakes.push_back({ .file = m_file,
                         .line = static_cast<unsigned>(node.Mark().line + 1),
                         .key = path,
                         .message = message,
                         .remedy = remedy });
}

void
YamlReader::read_entries(const std::string& path,
                         const YAML::Node& node,
                         const EntryHandler& handle)
{
  if (!node.IsMap()) {
    report(node, path, "must be a map", "write 'key: value' lines below it");
    return;
  }
  std::map<std::string, int> seen;
  for (auto entry = node.begin(); entry != node.end(); ++entry) {
    if (!entry->first.IsScalar()) {
      report(entry->first, path, "has a key that is not a string", "use plain words as keys");
      continue;
    }
    const std::string& key = entry->first.Scalar();
    const auto [first, inserted] = seen.emplace(key, entry->first.Mark().line + 1);
    if (!inserted) {
      report(entry->first,
             join_path(path, key),
             "is given twice, first in line " + std::to_string(first->second),
             "remove one of the two");
      continue;
    }
    handle(key, entry);
  }
}

void
YamlReader::read_map(const std::string& path, const YAML::Node& node, const FieldHandlers& handlers)
{
  read_entries(path, node, [&](const std::string& key, const YAML::const_iterator& entry) {
    const auto handler = handlers.find(key);
    if (handler != handlers.end()) {
      handler->second(join_path(path, key), entry->second);
      return;
    }
    std::vector<std::string> known;
    for (const auto& [name, ignored] : handlers) {
      known.push_back(name);
    }
    const std::string guess = closest_match(key, known);
    report(entry->first,
           join_path(path, key),
           "unknown key",
           guess.empty() ? "known keys are " + join_words(known) : "did you mean '" + guess + "'?");
  });
}

void
YamlReader::read_names(const std::string& path, const YAML::Node& node, const FieldHandler& handler)
{
  read_entries(path, node, [&](const std::string& key, const YAML::const_iterator& entry) {
    handler(key, entry->second);
  });
}

void
YamlReader::read_list(const std::string& path, const YAML::Node& node, const FieldHandler& handler)
{
  if (!node.IsSequence()) {
    report(node, path, "must be a list", "write [a, b] or one '- ' line for each element");
    return;
  }
  std::size_t index = 0;
  for (const YAML::Node& element : node) {
    handler(path + "." + std::to_string(index++), element);
  }
}

std::optional<std::string>
YamlReader::read_scalar(const std::string& path,
                        const YAML::Node& node,
                        const std::string& expected)
{
  if (node.IsScalar()) {
    return node.Scalar();
  }
  report(node, path, node.IsNull() ? "has no value" : "must be " + expected, "write " + expected);
  return std::nullopt;
}

std::optional<std::string>
YamlReader::read_string(const std::string& path, const YAML::Node& node)
{
  auto value = read_scalar(path, node, "a string");
  if (value && value->empty()) {
    report(node, path, "is empty", "write a string");
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t>
YamlReader::read_integer(const std::string& path,
                         const YAML::Node& node,
                         std::uint64_t minimum,
                         std::uint64_t maximum)
{
  const std::string range =
    "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
  const auto text = read_scalar(path, node, range);
  std::uint64_t value = 0;
  if (!text) {
    return std::nullopt;
  }
  if (!parse_number(*text, value) || value < minimum || value > maximum) {
    report(node, path, "'" + *text + "' is not " + range, "write a number in this range");
    return std::nullopt;
  }
  return value;
}

std::optional<double>
YamlReader::read_share(const std::string& path, const YAML::Node& node, double maximum)
{
  const std::string range = "a share above 0 and at most " + format_number(maximum);
  const auto text = read_scalar(path, node, range);
  double value = 0;
  if (!text) {
    return std::nullopt;
  }
  if (!parse_number(*text, value) || !std::isfinite(value) || value <= 0 || value > maximum) {
    report(node, path, "'" + *text + "' is not " + range, "write for example 0.002 for 0.2%");
    return std::nullopt;
  }
  return value;
}

std::optional<bool>
YamlReader::read_boolean(const std::string& path, const YAML::Node& node)
{
  const auto text = read_word(path, node, { "true", "false" });
  return text ? std::optional<bool>(*text == "true") : std::nullopt;
}

std::optional<microseconds>
YamlReader::read_duration(const std::string& path,
                          const YAML::Node& node,
                          microseconds minimum,
                          microseconds maximum)
{
  const auto text = read_scalar(path, node, "a duration such as 250ms, 2s or 24h");
  if (!text) {
    return std::nullopt;
  }
  const auto value = parse_duration(*text);
  if (!value) {
    const bool bare = text->find_first_not_of("0123456789") == std::string::npos;
    report(node,
           path,
           "'" + *text + "' is not a duration",
           bare ? "add the unit, for example " + *text + "ms or " + *text + "s"
                : "write a whole number and a unit (us, ms, s, m, h), for example 250ms");
    return std::nullopt;
  }
  if (*value < minimum || *value > maximum) {
    report(node,
           path,
           "'" + *text + "' is out of range",
           "choose from " + format_duration(minimum) + " to " + format_duration(maximum));
    return std::nullopt;
  }
  return value;
}

std::optional<std::string>
YamlReader::read_word(const std::string& path,
                      const YAML::Node& node,
                      const std::vector<std::string>& words)
{
  auto text = read_scalar(path, node, "one of " + join_words(words));
  if (!text || std::find(words.begin(), words.end(), *text) != words.end()) {
    return text;
  }
  const std::string guess = closest_match(*text, words);
  report(node,
         path,
         "'" + *text + "' is not one of " + join_words(words),
         guess.empty() ? "choose one of them" : "did you mean '" + guess + "'?");
  return std::nullopt;
}

std::optional<std::string>
YamlReader::read_address(const std::string& path, const YAML::Node& node)
{
  auto text = read_scalar(path, node, "IP:port");
  if (!text || parse_endpoint(*text)) {
    return text;
  }
  report(node,
         path,
         "'" + *text + "' is not an IP:port address",
         "write an IP address and a port, for example 10.0.0.5:7080; names are not resolved");
  return std::nullopt;
}

bool
YamlReader::check_name(const std::string& path,
                       const YAML::Node& node,
                       const std::string& value,
                       bool dots_allowed)
{
  const bool characters = std::all_of(value.begin(), value.end(), [&](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || (dots_allowed && c == '.');
  });
  if (characters && !value.empty() && value.size() <= kMaxNameLength) {
    return true;
  }
  report(node,
         path,
         "'" + value + "' is not a valid name",
         std::string("use 1 to 63 letters, digits, '-', '_'") + (dots_allowed ? " and '.'" : ""));
  return false;
}

} // namespace lovagehold
