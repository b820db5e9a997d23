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
// A change sent again gets the same response as the first time, so a lost response can be fetched
// again.
constexpr int kSendAttempts = 3;

struct ApplySummary
{
  std::uint64_t revision = 0;
  std::size_t accepted = 0;
  std::size_t accepted_before = 0;
  std::size_t too_old = 0;
  std::size_t conflicts = 0;
};

Result<AdminHttpResponse>
send_change(const std::string& admin, const DeclarationFile& file)
{
  const json body = { { "file", file.name }, { "content", file.content } };
  const AdminHttpRequest request{ .method = "POST",
                                  .target = "/config/changes",
                                  .body =
                                    body.dump(-1, ' ', false, json::error_handler_t::replace) };
  for (int attempt = 1;; ++attempt) {
    Result<AdminHttpResponse> response = send_admin_request(admin, request, kRequestTimeout);
    const bool unknown = response.has_error() || response.value().status == 503;
    if (!unknown || attempt == kSendAttempts) {
      return response;
    }
  }
}

int
apply_file(const std::string& admin, const DeclarationFile& file, ApplySummary& summary)
{
  const Result<AdminHttpResponse> response = send_change(admin, file);
  if (response.has_error()) {
    return report(response.error());
  }
  const json fields = json::parse(response.value().body, nullptr, false);
  if (response.value().status == 200 && fields.is_object()) {
    ++summary.accepted;
    summary.revision = std::max(summary.revision, fields.value("revision", std::uint64_t{ 0 }));
    std::cout << file.name << ": accepted, revision " << fields["revision"] << "\n";
    return kExitSuccess;
  }
  const Error error = to_error(response.value());
  if (response.value().status == 409 && fields.is_object()) {
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
  return error.kind == ErrorKind::Unavailable ? kExitUnreachable : kExitRefused;
}

int
wait_until_in_force(const Invocation& invocation, std::uint64_t revision)
{
  const auto deadline = std::chrono::steady_clock::now() + invocation.wait_limit;
  for (;;) {
    const auto hosts = fetch_from_hosts(invocation.admin, "/status");
    if (hosts.has_error()) {
      return report(hosts.error());
    }
    std::vector<std::string> behind;
    std::vector<std::string> unreachable;
    for (const HostPage& host : hosts.value()) {
      if (!host.responded) {
        unreachable.push_back(host.id);
      } else if (host.page.value("revision", std::uint64_t{ 0 }) < revision) {
        behind.push_back(host.id);
      }
    }
    const bool timed_out = std::chrono::steady_clock::now() >= deadline;
    if (!behind.empty() && !timed_out) {
      std::this_thread::sleep_for(kPollInterval);
      continue;
    }
    const std::size_t responded = hosts.value().size() - unreachable.size();
    std::cout << "revision " << revision << " is in force on " << responded - behind.size()
              << " of " << hosts.value().size() << " hosts\n";
    for (const std::string& host : unreachable) {
      std::cout << host << ": not heard from\n";
    }
    for (const std::string& host : behind) {
      std::cout << host << ": behind after " << invocation.wait_limit.count() << " s\n";
    }
    return behind.empty() ? kExitSuccess : kExitRefused;
  }
}

int
send_folder(const Invocation& invocation,
            const AcceptedChanges& accepted,
            const std::vector<DeclarationFile>& files,
            ApplySummary& summary)
{
  int code = kExitSuccess;
  for (const DeclarationFile& file : files) {
    std::string winner;
    const FileState state = accepted.compare(file, winner);
    if (state == FileState::Accepted || state == FileState::TooOld) {
      ++(state == FileState::Accepted ? summary.accepted_before : summary.too_old);
      continue;
    }
    const std::size_t conflicts = summary.conflicts;
    const int file_code = apply_file(invocation.admin, file, summary);
    code = std::max(code, file_code);
    // After a conflict the remaining files are still sent, so that all conflicts are reported at
    // once; any other refusal ends the run, because later files may depend on this one.
    if (file_code != kExitSuccess && summary.conflicts == conflicts) {
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
    return kExitUsageError;
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
  std::cout << summary.accepted << " accepted now, " << summary.accepted_before
            << " accepted before, " << summary.conflicts << " in conflict\n";
  if (summary.too_old > 0) {
    std::cout << summary.too_old
              << " not sent: their numbers are older than the history that control keeps\n";
  }
  if (invocation.wait && code != kExitUnreachable) {
    return std::max(code, wait_until_in_force(invocation, summary.revision));
  }
  return code;
}

} // namespace lovagehold
