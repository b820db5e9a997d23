#include "lovagehold/config_parser.h"

#include "lovagehold/declaration_merger.h"

#include <algorithm>

namespace lovagehold {

namespace {

// 15 digits are enough for a date with a time, and the number after the largest still fits in 64
// bits.
constexpr std::size_t kMaxNumberDigits = 15;

void
check_numbers(const std::vector<DeclarationFile>& sorted, std::vector<Mistake>& mistakes)
{
  std::map<std::uint64_t, std::string> used;
  for (const DeclarationFile& file : sorted) {
    const Result<std::uint64_t> number = change_number(file.name);
    if (number.has_error()) {
      mistakes.push_back(
        { .file = file.name, .message = number.error().message, .remedy = number.error().remedy });
      continue;
    }
    const auto [first, inserted] = used.emplace(number.value(), file.name);
    if (!inserted) {
      mistakes.push_back(
        { .file = file.name,
          .message =
            "number " + std::to_string(number.value()) + " is also used by " + first->second,
          .remedy = "rename one of the two; control accepts only one file for each number" });
    }
  }
}

} // namespace

std::string
to_string(const Mistake& mistake)
{
  const std::string line = mistake.line == 0 ? "" : ":" + std::to_string(mistake.line);
  const std::string key = mistake.key.empty() ? "" : mistake.key + ": ";
  return mistake.file + line + ": " + key + mistake.message + "; " + mistake.remedy;
}

Result<std::uint64_t>
change_number(const std::string& file_name)
{
  const std::size_t digits = file_name.find_first_not_of("0123456789");
  const bool is_yaml =
    file_name.size() > 5 && file_name.compare(file_name.size() - 5, 5, ".yaml") == 0;
  if (digits == 0 || digits == std::string::npos || digits > kMaxNumberDigits || !is_yaml) {
    return Error{ .kind = ErrorKind::InvalidArgument,
                  .message = "file name '" + file_name + "' has no change number",
                  .remedy = "name it NUMBER-WHAT.yaml, for example 0012-slot-desk.yaml" };
  }
  return std::stoull(file_name.substr(0, digits));
}

MergeOutcome
merge_declarations(const std::vector<DeclarationFile>& files)
{
  std::vector<DeclarationFile> sorted = files;
  std::sort(sorted.begin(), sorted.end(), [](const auto& a, const auto& b) {
    return merges_before(a.name, b.name);
  });
  MergeOutcome outcome;
  check_numbers(sorted, outcome.mistakes);
  DeclarationMerger merger;
  for (const DeclarationFile& file : sorted) {
    const std::vector<Mistake> found = merger.add(file);
    outcome.mistakes.insert(outcome.mistakes.end(), found.begin(), found.end());
  }
  outcome.configuration = merger.configuration();
  return outcome;
}

} // namespace lovagehold
