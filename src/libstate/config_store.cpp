#include "config_store.h"

#include "apply_results.h"
#include "config_json.h"

#include <xxhash.h>

namespace lovagehold {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxChangeBytes = std::size_t{ 1 } << 20;
constexpr std::size_t kMaxMistakesShown = 5;

Error
make_error(const std::vector<Mistake>& mistakes)
{
  Error error{ .kind = ErrorKind::InvalidArgument,
               .remedy = "run lovagehold --check --declarations on the folder" };
  for (std::size_t i = 0; i < mistakes.size() && i < kMaxMistakesShown; ++i) {
    error.message += (i == 0 ? "" : "\n") + to_string(mistakes[i]);
  }
  if (mistakes.size() > kMaxMistakesShown) {
    error.message += "\nand " + std::to_string(mistakes.size() - kMaxMistakesShown) + " more";
  }
  return error;
}

std::optional<Error>
check_request(const SubmitChange& change)
{
  const Result<std::uint64_t> number = change_number(change.file_name);
  if (number.has_error()) {
    return number.error();
  }
  if (number.value() != change.number) {
    return Error{ .kind = ErrorKind::InvalidArgument,
                  .message = "number " + std::to_string(change.number) + " is not that of " +
                             change.file_name,
                  .remedy = "send the number that the file name starts with" };
  }
  if (change.content.size() > kMaxChangeBytes) {
    return Error{ .kind = ErrorKind::InvalidArgument,
                  .message = change.file_name + " is larger than 1 MiB",
                  .remedy = "split it into several changes" };
  }
  return std::nullopt;
}

} // namespace

std::uint64_t
content_hash(const std::string& content)
{
  return XXH64(content.data(), content.size(), 0);
}

ConfigStore::ConfigStore(const StateMachineOptions& options)
  : m_history_count(options.history_count)
  , m_history_bytes(options.history_bytes)
  , m_folded_count(options.folded_count)
  , m_configuration(std::make_shared<Configuration>())
{
}

ApplyResult
ConfigStore::submit(const SubmitChange& change, std::uint64_t index)
{
  if (const auto error = check_request(change)) {
    return reject(*error);
  }
  if (auto used = result_for_used_number(change)) {
    return std::move(*used);
  }
  const std::vector<Mistake> mistakes = merge(change);
  if (!mistakes.empty()) {
    return reject(make_error(mistakes));
  }
  m_changes[change.number] = { .number = change.number,
                               .revision = index,
                               .file_name = change.file_name,
                               .content = change.content };
  m_content_bytes += change.content.size();
  auto configuration = std::make_shared<Configuration>(m_current.configuration());
  configuration->revision = index;
  m_configuration = std::move(configuration);
  fold();
  ApplyResult result = accept();
  result.revision = index;
  return result;
}

std::vector<ChangeRecord>
ConfigStore::changes() const
{
  std::vector<ChangeRecord> records;
  records.reserve(m_changes.size());
  for (const auto& [number, change] : m_changes) {
    records.push_back(change);
  }
  return records;
}

std::uint64_t
ConfigStore::next_free_number() const
{
  if (!m_changes.empty()) {
    return m_changes.rbegin()->first + 1;
  }
  return m_has_base ? m_base_number + 1 : 1;
}

ApplyResult
ConfigStore::make_conflict(std::uint64_t number,
                           const std::string& winner_file,
                           std::uint64_t revision) const
{
  const std::uint64_t next = next_free_number();
  ApplyResult result =
    reject({ .kind = ErrorKind::Conflict,
             .message = "number " + std::to_string(number) + " is taken by " + winner_file,
             .remedy = "rename the file to number " + std::to_string(next) });
  result.revision = revision;
  result.winner_file = winner_file;
  result.next_free_number = next;
  return result;
}

std::optional<ApplyResult>
ConfigStore::result_for_used_number(const SubmitChange& change) const
{
  std::optional<FoldedChange> winner;
  if (const auto recent = m_changes.find(change.number); recent != m_changes.end()) {
    const ChangeRecord& record = recent->second;
    winner = { record.number, record.revision, record.file_name, content_hash(record.content) };
  } else if (const auto folded = m_folded.find(change.number); folded != m_folded.end()) {
    winner = folded->second;
  }
  if (winner) {
    if (winner->file_name != change.file_name ||
        winner->content_hash != content_hash(change.content)) {
      return make_conflict(change.number, winner->file_name, winner->revision);
    }
    ApplyResult repeated = accept();
    repeated.revision = winner->revision;
    return repeated;
  }
  if (m_has_base && change.number < m_base_number) {
    const std::uint64_t next = next_free_number();
    ApplyResult too_old =
      reject({ .kind = ErrorKind::Conflict,
               .message = "number " + std::to_string(change.number) +
                          " is below the retained history, which starts after number " +
                          std::to_string(m_base_number),
               .remedy = "rename the file to number " + std::to_string(next) });
    too_old.next_free_number = next;
    return too_old;
  }
  return std::nullopt;
}

std::vector<Mistake>
ConfigStore::merge(const SubmitChange& change)
{
  const bool last = m_changes.empty() || change.number > m_changes.rbegin()->first;
  if (last) {
    return m_current.add({ change.file_name, change.content });
  }
  // A change with a higher number has been merged before, and changes apply in the order of their
  // numbers: all changes whose content is retained are merged again.
  DeclarationMerger merged = m_base;
  bool inserted = false;
  for (const auto& [number, record] : m_changes) {
    if (!inserted && number > change.number) {
      inserted = true;
      std::vector<Mistake> mistakes = merged.add({ change.file_name, change.content });
      if (!mistakes.empty()) {
        return mistakes;
      }
    }
    std::vector<Mistake> mistakes = merged.add({ record.file_name, record.content });
    if (!mistakes.empty()) {
      return mistakes;
    }
  }
  m_current = std::move(merged);
  return {};
}

void
ConfigStore::fold()
{
  while (m_changes.size() > m_history_count || m_content_bytes > m_history_bytes) {
    const auto oldest = m_changes.begin();
    const ChangeRecord& record = oldest->second;
    m_base.add({ record.file_name, record.content });
    m_base_number = record.number;
    m_has_base = true;
    m_folded[record.number] = {
      record.number, record.revision, record.file_name, content_hash(record.content)
    };
    m_content_bytes -= record.content.size();
    m_changes.erase(oldest);
  }
  while (m_folded.size() > m_folded_count) {
    m_folded.erase(m_folded.begin());
  }
}

json
ConfigStore::snapshot() const
{
  json changes = json::array();
  for (const auto& [number, change] : m_changes) {
    changes.push_back({ number, change.revision, change.file_name, change.content });
  }
  json folded = json::array();
  for (const auto& [number, change] : m_folded) {
    folded.push_back({ number, change.revision, change.file_name, change.content_hash });
  }
  return { { "revision", m_configuration->revision },
           { "changes", std::move(changes) },
           { "folded", std::move(folded) },
           { "base_number", m_base_number },
           { "has_base", m_has_base },
           { "base", m_base.configuration() },
           { "origins", m_base.origins() } };
}

void
ConfigStore::restore(const json& fields)
{
  for (const json& change : fields.at("folded")) {
    m_folded[change.at(0)] = { change.at(0), change.at(1), change.at(2), change.at(3) };
  }
  fields.at("base_number").get_to(m_base_number);
  fields.at("has_base").get_to(m_has_base);
  m_base = { fields.at("base").get<Configuration>(), fields.at("origins").get<Origins>() };
  m_current = m_base;
  for (const json& change : fields.at("changes")) {
    ChangeRecord record{ .number = change.at(0),
                         .revision = change.at(1),
                         .file_name = change.at(2),
                         .content = change.at(3) };
    if (!m_current.add({ record.file_name, record.content }).empty()) {
      throw std::invalid_argument(record.file_name + " has mistakes");
    }
    m_content_bytes += record.content.size();
    m_changes[record.number] = std::move(record);
  }
  auto configuration = std::make_shared<Configuration>(m_current.configuration());
  fields.at("revision").get_to(configuration->revision);
  m_configuration = std::move(configuration);
}

} // namespace lovagehold
