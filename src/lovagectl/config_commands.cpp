#include "accepted_changes.h"
#include "commands.h"
#include "libstate/config_json.h"
#include "lovagehold/declaration_folder.h"
#include "lovagehold/declaration_merger.h"

#include <iostream>
#include <set>

namespace lovagehold {

namespace {

using nlohmann::json;

// \return the values of a service by dotted key, as in declarations
std::map<std::string, std::string>
flatten(const json& service)
{
  std::map<std::string, std::string> values;
  for (const auto& [key, value] : service.items()) {
    if (key == "kinds") {
      for (const json& kind : value) {
        for (const auto& [kind_key, kind_value] : kind.items()) {
          if (kind_key != "name") {
            values["kinds." + kind["name"].get<std::string>() + "." + kind_key] = kind_value.dump();
          }
        }
      }
    } else if (key != "origins") {
      values[key] = value.dump();
    }
  }
  return values;
}

// Keys of the page end in the unit of the value ("deadline_ms"); origins use the declared key.
std::string
find_origin(const json& origins, const std::string& key)
{
  for (const char* unit : { "", "_ms", "_us", "_h" }) {
    const std::string suffix = unit;
    if (key.size() > suffix.size() &&
        key.compare(key.size() - suffix.size(), suffix.size(), suffix) == 0) {
      const auto found = origins.find(key.substr(0, key.size() - suffix.size()));
      if (found != origins.end()) {
        return found->get<std::string>();
      }
    }
  }
  return "default";
}

void
print_difference(const std::string& service, const json& before, const json& after)
{
  const auto old_values = flatten(before);
  const auto new_values = flatten(after);
  std::set<std::string> keys;
  for (const auto& [key, value] : old_values) {
    keys.insert(key);
  }
  for (const auto& [key, value] : new_values) {
    keys.insert(key);
  }
  for (const std::string& key : keys) {
    const auto old_value = old_values.find(key);
    const auto new_value = new_values.find(key);
    if (old_value == old_values.end()) {
      std::cout << "  + " << service << "." << key << " = " << new_value->second << "\n";
    } else if (new_value == new_values.end()) {
      std::cout << "  - " << service << "." << key << " = " << old_value->second << "\n";
    } else if (old_value->second != new_value->second) {
      std::cout << "  ~ " << service << "." << key << ": " << old_value->second << " -> "
                << new_value->second << "\n";
    }
  }
}

// Prints the files that differ from the accepted changes. \return the files that apply would send
std::vector<DeclarationFile>
compare_files(const json& history, const std::vector<DeclarationFile>& files)
{
  const AcceptedChanges accepted(history);
  const std::string next = history["next_free_number"].dump();
  std::vector<DeclarationFile> pending;
  for (const DeclarationFile& file : files) {
    std::string winner;
    switch (accepted.compare(file, winner)) {
      case FileState::Pending:
        std::cout << "+ " << file.name << ": not accepted yet\n";
        pending.push_back(file);
        break;
      case FileState::NumberTaken:
        std::cout << "! " << file.name << ": the number is taken by " << winner
                  << "; next free number is " << next << "\n";
        break;
      case FileState::ContentDiffers:
        std::cout << "! " << file.name << ": was accepted with other content; put the change into "
                  << "a new file with number " << next << "\n";
        break;
      case FileState::TooOld:
        std::cout << "? " << file.name
                  << ": the number is older than the history that control keeps\n";
        break;
      case FileState::Accepted:
        break;
    }
  }
  for (const std::string& name : accepted.missing_from(files)) {
    std::cout << "- " << name << ": accepted, but not in the folder\n";
  }
  return pending;
}

} // namespace

int
diff_command(const Invocation& invocation)
{
  const auto files = read_declaration_folder(invocation.operands[0]);
  if (files.has_error()) {
    report(files.error());
    return kExitUsageError;
  }
  const MergeOutcome checked = merge_declarations(files.value());
  for (const Mistake& mistake : checked.mistakes) {
    std::cerr << to_string(mistake) << "\n";
  }
  if (!checked.mistakes.empty()) {
    return kExitRefused;
  }
  const Result<json> history = fetch_page(invocation.admin, "/config/changes");
  const Result<json> shown = fetch_page(invocation.admin, "/config/show");
  if (history.has_error() || shown.has_error()) {
    return report(history.has_error() ? history.error() : shown.error());
  }
  const auto pending = compare_files(history.value(), files.value());
  const auto current = shown.value().get<Configuration>();
  DeclarationMerger merger(current, {});
  for (const DeclarationFile& file : pending) {
    for (const Mistake& mistake : merger.add(file)) {
      std::cerr << to_string(mistake) << "\n";
    }
  }
  std::cout << pending.size() << " files to apply";
  std::cout << (pending.empty() ? "\n" : "; in the merged configuration:\n");
  const json before = current.services;
  const json after = merger.configuration().services;
  std::set<std::string> names;
  for (const json* side : { &before, &after }) {
    for (const auto& [name, service] : side->items()) {
      names.insert(name);
    }
  }
  for (const std::string& name : names) {
    print_difference(name, before.value(name, json::object()), after.value(name, json::object()));
  }
  return kExitSuccess;
}

int
history_command(const Invocation& invocation)
{
  const Result<json> history = fetch_page(invocation.admin, "/config/changes");
  if (history.has_error()) {
    return report(history.error());
  }
  const json& page = history.value();
  if (invocation.as_json) {
    std::cout << page.dump(2) << "\n";
    return kExitSuccess;
  }
  std::vector<std::vector<std::string>> rows{ { "NUMBER", "REVISION", "FILE" } };
  for (const json& change : page["changes"]) {
    rows.push_back(
      { change["number"].dump(), change["revision"].dump(), change["file"].get<std::string>() });
  }
  print_table(rows);
  if (page["folded_through"].is_number()) {
    std::cout << "changes up to number " << page["folded_through"] << " are folded into the base\n";
  }
  std::cout << "next free number: " << page["next_free_number"] << "\n";
  return kExitSuccess;
}

int
show_command(const Invocation& invocation)
{
  std::string target = "/config/show";
  if (!invocation.operands.empty()) {
    target += "?service=" + percent_encode(invocation.operands[0]);
  }
  const Result<json> shown = fetch_page(invocation.admin, target);
  if (shown.has_error()) {
    return report(shown.error());
  }
  if (invocation.as_json) {
    std::cout << shown.value().dump(2) << "\n";
    return kExitSuccess;
  }
  std::cout << "revision " << shown.value()["revision"] << "\n";
  for (const auto& [name, service] : shown.value()["services"].items()) {
    std::cout << "\n" << name << "\n";
    std::vector<std::vector<std::string>> rows;
    for (const auto& [key, value] : flatten(service)) {
      rows.push_back({ "  " + key, value, find_origin(service["origins"], key) });
    }
    print_table(rows);
  }
  return kExitSuccess;
}

int
key_command(const Invocation& invocation)
{
  const Result<json> page = fetch_page(invocation.admin,
                                       "/keys?service=" + percent_encode(invocation.operands[0]) +
                                         "&key=" + percent_encode(invocation.operands[1]));
  if (page.has_error()) {
    return report(page.error());
  }
  if (invocation.as_json) {
    std::cout << page.value().dump(2) << "\n";
    return kExitSuccess;
  }
  std::vector<std::vector<std::string>> rows;
  for (const auto& [name, value] : page.value().items()) {
    rows.push_back({ name, value.is_string() ? value.get<std::string>() : value.dump() });
  }
  print_table(rows);
  return kExitSuccess;
}

} // namespace lovagehold
