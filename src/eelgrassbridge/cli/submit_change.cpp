// Submits a change, finds out its result if the answer is lost, and waits for
// it with --wait.
#include "eelgrassbridge/cli/submit_change.hpp"

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/yaml_fields.hpp"
#include "eelgrassbridge/catalogue/diff.hpp"

namespace eelgrassbridge::cli {

namespace {

using nlohmann::json;

constexpr base::Duration kPollInterval = base::milliseconds{200};
/// A write that is not in the history by then may still be delayed in the
/// network, so the result is reported as unknown.
constexpr base::Duration kResolveTimeout = base::seconds{10};
constexpr std::uint32_t kResolveHistoryLimit = 50;
constexpr const char* kDefaultWaitTimeout = "30s";

/// A submitted change; `version` is the version that it will get.
struct Submission {
  std::uint64_t version = 0;
  std::string operation_id;
  std::vector<std::string> changes;
};

std::vector<std::string> FormatChanges(
    const std::vector<catalogue::Change>& changes) {
  std::vector<std::string> lines;
  lines.reserve(changes.size());
  for (const catalogue::Change& change : changes) {
    lines.push_back(catalogue::ToString(change));
  }
  return lines;
}

json ToJson(const Submission& submission, std::string_view result) {
  return {{"result", result},
          {"version", submission.version},
          {"operation_id", submission.operation_id},
          {"changes", submission.changes}};
}

ExitCode ReportConflict(CommandContext& context,
                        const base::Error& error,
                        const catalogue::Catalogue& current,
                        const catalogue::Catalogue& conflicting) {
  const auto changes = FormatChanges(catalogue::Diff(current, conflicting));
  if (context.json) {
    PrintJson(context, {{"result", "conflict"},
                        {"version", conflicting.version},
                        {"changed_by", conflicting.changed_by},
                        {"reason", conflicting.reason},
                        {"changes", changes}});
    return ExitCode::kConflict;
  }
  context.err << "change not made: " << error.detail << "\n"
              << fmt::format("version {} by {} ({}):\n", conflicting.version,
                             conflicting.changed_by, conflicting.reason);
  for (const std::string& line : changes) {
    context.err << "  " << line << "\n";
  }
  context.err << "review that change and run the command again\n";
  return ExitCode::kConflict;
}

ExitCode ReportUnknown(CommandContext& context, const Submission& submission) {
  if (context.json) {
    PrintJson(context, ToJson(submission, "unknown"));
    return ExitCode::kUnknown;
  }
  context.err << fmt::format(
      "result unknown: the change may have been made or may still be made. Do "
      "not submit it again before 'catalogue history' shows version {}; the "
      "change was made if that version has operation id {}\n",
      submission.version, submission.operation_id);
  return ExitCode::kUnknown;
}

/// Looks for the operation id in the history, until the version of the
/// submission has been assigned or the time is up.
ExitCode ResolveLostAnswer(CommandContext& context,
                           const AdminClient& client,
                           const Submission& submission) {
  context.err
      << "the answer was lost; looking for the operation id in the history\n";
  const auto end = base::BootClock::now() + kResolveTimeout;
  while (base::BootClock::now() < end) {
    const auto history = GetHistory(client, kResolveHistoryLimit);
    if (history) {
      for (const daemon::HistoryEntry& entry : history.value()) {
        if (entry.operation_id == submission.operation_id) {
          return ExitCode::kSuccess;
        }
        if (entry.version == submission.version) {
          // Another operation has this version, so the conditional write of
          // this one can no longer succeed.
          context.err << fmt::format(
              "change not made: version {} was made by {} ({})\n",
              entry.version, entry.changed_by, entry.reason);
          return ExitCode::kConflict;
        }
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return ReportUnknown(context, submission);
}

ExitCode WaitForRollout(CommandContext& context,
                        const AdminClient& client,
                        std::uint64_t version,
                        RolloutStatus& rollout) {
  const auto timeout = base::ParseDuration(TextOption(context, "wait-timeout"))
                           .value_or(base::seconds{30});
  const auto end = base::BootClock::now() + timeout;
  std::string printed;
  for (;;) {
    const auto status = GetStatus(client);
    std::string line = "no answer from the daemon";
    if (status) {
      rollout = GetRolloutStatus(status.value(), version);
      line = ToString(rollout);
    }
    if (line != printed) {
      context.err << line << "\n" << std::flush;
      printed = line;
    }
    if (status && rollout.total > 0 && rollout.reached == rollout.total) {
      return ExitCode::kSuccess;
    }
    if (base::BootClock::now() >= end) {
      return ExitCode::kWaitTimeout;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

/// Prints the accepted change and, with --wait, waits until all daemons have
/// it.
ExitCode ReportAccepted(CommandContext& context,
                        const AdminClient& client,
                        const Submission& submission) {
  ExitCode code = ExitCode::kSuccess;
  json result = ToJson(submission, "accepted");
  if (!context.json) {
    context.out << fmt::format("accepted as version {} (operation id {})\n",
                               submission.version, submission.operation_id);
  }
  if (HasOption(context, "wait")) {
    RolloutStatus rollout;
    code = WaitForRollout(context, client, submission.version, rollout);
    result["in_force"] = {{"reached", rollout.reached},
                          {"total", rollout.total},
                          {"missing", rollout.missing},
                          {"lost", rollout.lost}};
  }
  if (context.json) {
    PrintJson(context, result);
  }
  return code;
}

/// Prints the change. Returns an error code if it is unsafe and must not be
/// submitted.
ExitCode ShowChange(CommandContext& context,
                    const catalogue::Catalogue& current,
                    const catalogue::Catalogue& next,
                    const std::vector<std::string>& changes) {
  if (!context.json) {
    for (const std::string& line : changes) {
      context.out << line << "\n";
    }
  }
  const auto reasons = catalogue::UnsafeReasons(current, next);
  for (const std::string& reason : reasons) {
    context.err << "unsafe: " << reason << "\n";
  }
  if (!reasons.empty() && !HasOption(context, "allow-unsafe")) {
    context.err << "change not made; use --allow-unsafe to make it anyway\n";
    return ExitCode::kUnsafe;
  }
  return ExitCode::kSuccess;
}

}  // namespace

void AddChangeOptions(cxxopts::Options& options) {
  options.add_options()("reason", "Reason, recorded in the history",
                        cxxopts::value<std::string>(),
                        "TEXT")("dry-run", "Show the change without making it")(
      "allow-unsafe",
      "Make the change even if it leaves a service or account unserved")(
      "wait", "Wait until the change is in force on all daemons")(
      "wait-timeout", "Maximum wait",
      cxxopts::value<std::string>()->default_value(kDefaultWaitTimeout),
      "DURATION");
}

ExitCode SubmitChange(CommandContext& context,
                      const AdminClient& client,
                      const catalogue::Catalogue& current,
                      catalogue::Catalogue next) {
  Submission submission{current.version + 1, base::RandomHex128(),
                        FormatChanges(catalogue::Diff(current, next))};
  if (submission.changes.empty()) {
    if (context.json) {
      PrintJson(context,
                {{"result", "no change"}, {"version", current.version}});
    } else {
      context.out << fmt::format("no change; version {} stays in force\n",
                                 current.version);
    }
    return ExitCode::kSuccess;
  }
  const ExitCode shown = ShowChange(context, current, next, submission.changes);
  if (shown != ExitCode::kSuccess) {
    return shown;
  }
  if (HasOption(context, "dry-run")) {
    if (context.json) {
      PrintJson(context, ToJson(submission, "dry run"));
    }
    return ExitCode::kSuccess;
  }
  next.reason = TextOption(context, "reason");
  const AdminReply reply =
      Post(client, "/admin/catalogue",
           daemon::WriteChangeJson({current.version, submission.operation_id,
                                    HasOption(context, "allow-unsafe"), next}));
  if (!reply.error) {
    return ReportAccepted(context, client, submission);
  }
  switch (reply.error->kind) {
    case base::ErrorKind::kVersionConflict:
      return ReportConflict(context, *reply.error, current,
                            reply.conflicting.value_or(catalogue::Catalogue{}));
    case base::ErrorKind::kStoreResultUnknown:
    case base::ErrorKind::kPeerLost:
    case base::ErrorKind::kInternal: {
      const ExitCode resolved = ResolveLostAnswer(context, client, submission);
      return resolved == ExitCode::kSuccess
                 ? ReportAccepted(context, client, submission)
                 : resolved;
    }
    default:
      return ReportError(context, *reply.error);
  }
}

}  // namespace eelgrassbridge::cli
