#include "accepted_changes.h"
#include "commands.h"
#include "lovagehold/declaration_folder.h"

#include <iostream>
#include <map>
#include <thread>

namespace lovagehold {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval{ 200 };
// A change sent again gets its first answer, so a lost answer can be asked for again.
constexpr int kSendAttempts = 3;

struct ApplySummary
{
  std::uint64_t revision = 0;
  std::size_t accepted = 0;
  std::size_t known = 0;
  std::size_t forgotten = 0;
  std::size_t conflicts = 0;
};

Result<AdminAnswer>
send_change(const std::string& admin, const DeclarationFile& file)
{
  const json body = { { "file", file.name }, { "content", file.content } };
  const AdminQuestion question{ .method = "POST",
                                .target = "/config/changes",
                                .body = body.dump(-1, ' ', false, json::error_handler_t::replace) };
  for (int attempt = 1;; ++attempt) {
    Result<AdminAnswer> answer = ask_admin(admin, question, kAnswerTimeout);
    const bool unknown = answer.has_error() || answer.value().status == 503;
    if (!unknown || attempt == kSendAttempts) {
      return answer;
    }
  }
}

int
apply_file(const std::string& admin, const DeclarationFile& file, ApplySummary& summary)
{
  const Result<AdminAnswer> answer = send_change(admin, file);
  if (answer.has_error()) {
    return report(answer.error());
  }
  const json fields = json::parse(answer.value().body, nullptr, false);
  if (answer.value().status == 200 && fields.is_object()) {
    ++summary.accepted;
    summary.revision = std::max(summary.revision, fields.value("revision", std::uint64_t{ 0 }));
    std::cout << file.name << ": accepted, revision " << fields["revision"] << "\n";
    return kExitDone;
  }
  const Error error = to_error(answer.value());
  if (answer.value().status == 409 && fields.is_object()) {
    ++summary.conflicts;
    const std::string winner = fields.value("winner", "");
    std::cerr << file.name << ": conflict: " << error.message;
    if (!winner.empty()) {
      std::cerr << " (revision " << fields["winner_revision"] << ")";
    }
    std::cerr << "; next free number is " << fields["next_free_number"] << ": " << error.remedy
              << "\n";
    return kExitRefused;
  }
  std::cerr << file.name << ": refused: " << error.message << "; " << error.remedy << "\n";
  return error.kind == ErrorKind::Unavailable ? kExitNotReachable : kExitRefused;
}

int
wait_until_in_force(const Invocation& invocation, std::uint64_t revision)
{
  const auto give_up = std::chrono::steady_clock::now() + invocation.wait_limit;
  for (;;) {
    const auto hosts = ask_hosts(invocation.admin, "/status");
    if (hosts.has_error()) {
      return report(hosts.error());
    }
    std::vector<std::string> behind;
    std::vector<std::string> silent;
    for (const HostAnswer& host : hosts.value()) {
      if (!host.answered) {
        silent.push_back(host.id);
      } else if (host.page.value("revision", std::uint64_t{ 0 }) < revision) {
        behind.push_back(host.id);
      }
    }
    const bool over = std::chrono::steady_clock::now() >= give_up;
    if (!behind.empty() && !over) {
      std::this_thread::sleep_for(kPollInterval);
      continue;
    }
    const std::size_t answered = hosts.value().size() - silent.size();
    std::cout << "revision " << revision << " is in force on " << answered - behind.size() << " of "
              << hosts.value().size() << " hosts\n";
    for (const std::string& host : silent) {
      std::cout << host << ": not heard from\n";
    }
    for (const std::string& host : behind) {
      std::cout << host << ": behind after " << invocation.wait_limit.count() << " s\n";
    }
    return behind.empty() ? kExitDone : kExitRefused;
  }
}

int
send_folder(const Invocation& invocation,
            const AcceptedChanges& accepted,
            const std::vector<DeclarationFile>& files,
            ApplySummary& summary)
{
  int code = kExitDone;
  for (const DeclarationFile& file : files) {
    std::string winner;
    const FileState state = accepted.compare(file, winner);
    if (state == FileState::Accepted || state == FileState::Forgotten) {
      ++(state == FileState::Accepted ? summary.known : summary.forgotten);
      continue;
    }
    const std::size_t conflicts = summary.conflicts;
    const int file_code = apply_file(invocation.admin, file, summary);
    code = std::max(code, file_code);
    // After a conflict the others go on, so that all conflicts are named at once; any other refusal
    // ends the run, because later files may build on this one.
    if (file_code != kExitDone && summary.conflicts == conflicts) {
      break;
    }
  }
  return code;
}

} // namespace

int
apply_command(const Invocation& invocation)
{
  const auto files = read_declaration_folder(invocation.operands[0]);
  if (files.has_error()) {
    report(files.error());
    return kExitWrongUse;
  }
  const MergeOutcome checked = merge_declarations(files.value());
  for (const Mistake& mistake : checked.mistakes) {
    std::cerr << to_string(mistake) << "\n";
  }
  if (!checked.mistakes.empty()) {
    std::cerr << "lovagectl: nothing was sent; correct the mistakes and apply again\n";
    return kExitRefused;
  }
  const Result<json> history = fetch_page(invocation.admin, "/config/changes");
  if (history.has_error()) {
    return report(history.error());
  }
  ApplySummary summary{ .revision = history.value().value("revision", std::uint64_t{ 0 }) };
  const int code =
    send_folder(invocation, AcceptedChanges(history.value()), files.value(), summary);
  std::cout << summary.accepted << " accepted now, " << summary.known << " accepted before, "
            << summary.conflicts << " in conflict\n";
  if (summary.forgotten > 0) {
    std::cout << summary.forgotten
              << " not sent: their numbers are older than what control remembers\n";
  }
  if (invocation.wait && code != kExitNotReachable) {
    return std::max(code, wait_until_in_force(invocation, summary.revision));
  }
  return code;
}

} // namespace lovagehold
