// Puts steps in causal order: the entry's lines in their logged order, each
// preceded by the line of the daemon whose attempt it reports. Timestamps are
// not used, because the clocks of VMs differ.
#include "eelgrassbridge/explain/explanation.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>
#include <optional>
#include <span>

#include "eelgrassbridge/explain/conclusions.hpp"
#include "eelgrassbridge/node/event_log.hpp"

namespace eelgrassbridge::explain {

namespace {

using node::EventKind;
using node::EventName;

bool IsEvent(const LogLine& line, EventKind kind) {
  return line.event == EventName(kind);
}

bool IsFinalEvent(const LogLine& line) {
  return IsEvent(line, EventKind::kRequestAnswered) ||
         IsEvent(line, EventKind::kRequestRefused) ||
         IsEvent(line, EventKind::kRequestFailed) ||
         IsEvent(line, EventKind::kCallerLeft);
}

bool IsEntryEvent(const LogLine& line) {
  return IsFinalEvent(line) || IsEvent(line, EventKind::kRequestRetried);
}

bool IsTargetEvent(const LogLine& line) {
  return IsEvent(line, EventKind::kRequestRun) ||
         IsEvent(line, EventKind::kRequestTurnedAway);
}

/// Indices of a daemon's log lines about the request.
using Positions = std::vector<std::size_t>;

struct Builder {
  const LogSet& logs;
  Explanation explanation;
  /// By daemon name: lines of target daemons that no step contains yet.
  std::map<std::string, Positions> unmatched;
};

Positions FindPositions(const DaemonLog& log,
                        bool (*predicate)(const LogLine&)) {
  Positions positions;
  for (std::size_t i = 0; i < log.lines.size(); ++i) {
    if (log.lines[i].fields.contains("request") && predicate(log.lines[i])) {
      positions.push_back(i);
    }
  }
  return positions;
}

const DaemonLog* FindEntry(const LogSet& logs) {
  const DaemonLog* entry = nullptr;
  for (const auto& [name, log] : logs.daemons) {
    const Positions found = FindPositions(log, IsEntryEvent);
    const bool has_end =
        std::ranges::any_of(found, [&log = log](std::size_t position) {
          return IsFinalEvent(log.lines[position]);
        });
    if (has_end || (entry == nullptr && !found.empty())) {
      entry = &log;
    }
  }
  return entry;
}

void AddStep(Builder& builder, const DaemonLog& log, std::size_t position) {
  builder.explanation.steps.push_back(
      {log.name, log.lines[position], LocalStateAt(log, position)});
}

std::size_t CountDroppedLines(const DaemonLog& log) {
  std::size_t count = 0;
  for (const LogLine& line : log.lines) {
    const std::string of = TextOf(line, "of");
    if (IsEvent(line, EventKind::kLinesDropped) && of.starts_with("request_")) {
      count += line.fields.value("count", std::size_t{0});
    }
  }
  return count;
}

/// Likely reason why a daemon's log has no line about an attempt.
std::string ReasonForMissingLine(const DaemonLog& log) {
  if (const std::size_t dropped = CountDroppedLines(log); dropped > 0) {
    return fmt::format("{} left out {} lines about requests", log.name,
                       dropped);
  }
  if (log.runs > 1) {
    return fmt::format("{} has no line; its process ended and started again",
                       log.name);
  }
  return fmt::format(
      "{} has no line: the request did not arrive, or its process ended",
      log.name);
}

/// Adds the step of the daemon that an attempt was sent to.
void AddAttemptStep(Builder& builder,
                    const DaemonLog& entry,
                    const std::string& address) {
  const DaemonLog* const asked =
      entry.address == address ? &entry : FindByAddress(builder.logs, address);
  if (asked == nullptr) {
    builder.explanation.missing.push_back(
        fmt::format("no log of the daemon at {} was given", address));
    return;
  }
  Positions& unmatched = builder.unmatched[asked->name];
  if (unmatched.empty()) {
    builder.explanation.missing.push_back(ReasonForMissingLine(*asked));
    return;
  }
  AddStep(builder, *asked, unmatched.front());
  unmatched.erase(unmatched.begin());
}

/// Adds the entry's lines, each after the step of the attempt that it reports.
void AddEntrySteps(Builder& builder, const DaemonLog& entry) {
  std::int64_t attempts_reported = 0;
  for (const std::size_t position : FindPositions(entry, IsEntryEvent)) {
    const LogLine& line = entry.lines[position];
    const auto attempts = line.fields.value("attempts", std::int64_t{0});
    const std::string address = TextOf(line, "last_daemon");
    if (attempts > attempts_reported && !address.empty()) {
      if (attempts > attempts_reported + 1) {
        builder.explanation.missing.push_back(fmt::format(
            "{} attempts before attempt {} have no line at {}",
            attempts - attempts_reported - 1, attempts, entry.name));
      }
      AddAttemptStep(builder, entry, address);
      attempts_reported = attempts;
    }
    AddStep(builder, entry, position);
    if (IsFinalEvent(line)) {
      builder.explanation.end = builder.explanation.steps.size() - 1;
    }
  }
}

/// Adds lines of target daemons that match no attempt in the entry's log.
void AddUnmatchedSteps(Builder& builder) {
  for (const auto& [name, positions] : builder.unmatched) {
    for (const std::size_t position : positions) {
      AddStep(builder, builder.logs.daemons.at(name), position);
    }
  }
}

}  // namespace

Explanation Explain(const LogSet& logs, std::string_view request) {
  Builder builder{logs, {}, {}};
  builder.explanation.request = request;
  for (const auto& [name, log] : logs.daemons) {
    builder.unmatched[name] = FindPositions(log, IsTargetEvent);
  }
  const DaemonLog* const entry = FindEntry(logs);
  if (entry != nullptr) {
    AddEntrySteps(builder, *entry);
  }
  AddUnmatchedSteps(builder);
  std::vector<std::string>& missing = builder.explanation.missing;
  if (builder.explanation.steps.empty()) {
    missing.emplace_back("no line names the request");
  } else if (!builder.explanation.end) {
    missing.emplace_back(
        "the end of the request: the log of its entry was not given, left the "
        "line out, or its process ended first");
  }
  if (logs.unreadable_lines > 0) {
    missing.push_back(
        fmt::format("{} lines cannot be read", logs.unreadable_lines));
  }
  builder.explanation.conclusion = ConclusionOf(builder.explanation);
  return std::move(builder.explanation);
}

}  // namespace eelgrassbridge::explain
