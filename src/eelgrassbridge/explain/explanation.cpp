// Order of causes: the entry's lines, with those of each daemon that it asked
// before the line that tells the outcome of the attempt. Clocks of several VMs
// are not compared.
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

bool Is(const LogLine& line, EventKind kind) {
  return line.event == EventName(kind);
}

bool IsFinal(const LogLine& line) {
  return Is(line, EventKind::kRequestAnswered) ||
         Is(line, EventKind::kRequestRefused) ||
         Is(line, EventKind::kRequestFailed) ||
         Is(line, EventKind::kCallerLeft);
}

bool IsAtEntry(const LogLine& line) {
  return IsFinal(line) || Is(line, EventKind::kRequestRetried);
}

bool IsAtTarget(const LogLine& line) {
  return Is(line, EventKind::kRequestRun) ||
         Is(line, EventKind::kRequestTurnedAway);
}

/// Positions in a daemon's log that are about the request.
using Positions = std::vector<std::size_t>;

struct Work {
  const LogSet& logs;
  Explanation explanation;
  /// Lines at targets' daemons that stand in no step yet.
  std::map<std::string, Positions> at_targets;
};

Positions PositionsOf(const DaemonLog& log, bool (*wanted)(const LogLine&)) {
  Positions positions;
  for (std::size_t i = 0; i < log.lines.size(); ++i) {
    if (log.lines[i].fields.contains("request") && wanted(log.lines[i])) {
      positions.push_back(i);
    }
  }
  return positions;
}

const DaemonLog* FindEntry(const LogSet& logs) {
  const DaemonLog* entry = nullptr;
  for (const auto& [name, log] : logs.daemons) {
    const Positions found = PositionsOf(log, IsAtEntry);
    const bool has_end =
        std::ranges::any_of(found, [&log = log](std::size_t position) {
          return IsFinal(log.lines[position]);
        });
    if (has_end || (entry == nullptr && !found.empty())) {
      entry = &log;
    }
  }
  return entry;
}

void AddStep(Work& work, const DaemonLog& log, std::size_t position) {
  work.explanation.steps.push_back(
      {log.name, log.lines[position], BeliefsAt(log, position)});
}

std::size_t DroppedLines(const DaemonLog& log) {
  std::size_t count = 0;
  for (const LogLine& line : log.lines) {
    const std::string of = TextOf(line, "of");
    if (Is(line, EventKind::kLinesDropped) && of.starts_with("request_")) {
      count += line.fields.value("count", std::size_t{0});
    }
  }
  return count;
}

/// Why the log of a daemon has no line about an attempt.
std::string WhyNoLine(const DaemonLog& log) {
  if (const std::size_t dropped = DroppedLines(log); dropped > 0) {
    return fmt::format("{} left out {} lines about requests", log.name,
                       dropped);
  }
  if (log.lives > 1) {
    return fmt::format("{} has no line; its process ended and started again",
                       log.name);
  }
  return fmt::format(
      "{} has no line: the request did not arrive, or its process ended",
      log.name);
}

/// The step of the daemon that was asked in an attempt.
void AddAttempt(Work& work,
                const DaemonLog& entry,
                const std::string& address) {
  const DaemonLog* const asked =
      entry.address == address ? &entry : FindByAddress(work.logs, address);
  if (asked == nullptr) {
    work.explanation.missing.push_back(
        fmt::format("no log of the daemon at {} was given", address));
    return;
  }
  Positions& open = work.at_targets[asked->name];
  if (open.empty()) {
    work.explanation.missing.push_back(WhyNoLine(*asked));
    return;
  }
  AddStep(work, *asked, open.front());
  open.erase(open.begin());
}

/// All attempts that the entry's lines tell of, and these lines.
void AddEntry(Work& work, const DaemonLog& entry) {
  std::int64_t attempts_told = 0;
  for (const std::size_t position : PositionsOf(entry, IsAtEntry)) {
    const LogLine& line = entry.lines[position];
    const auto attempts = line.fields.value("attempts", std::int64_t{0});
    const std::string address = TextOf(line, "last_daemon");
    if (attempts > attempts_told && !address.empty()) {
      if (attempts > attempts_told + 1) {
        work.explanation.missing.push_back(
            fmt::format("{} attempts before attempt {} have no line at {}",
                        attempts - attempts_told - 1, attempts, entry.name));
      }
      AddAttempt(work, entry, address);
      attempts_told = attempts;
    }
    AddStep(work, entry, position);
    if (IsFinal(line)) {
      work.explanation.end = work.explanation.steps.size() - 1;
    }
  }
}

/// Lines at targets' daemons that no attempt of the entry accounts for.
void AddRest(Work& work) {
  for (const auto& [name, positions] : work.at_targets) {
    for (const std::size_t position : positions) {
      AddStep(work, work.logs.daemons.at(name), position);
    }
  }
}

}  // namespace

Explanation Explain(const LogSet& logs, std::string_view request) {
  Work work{logs, {}, {}};
  work.explanation.request = request;
  for (const auto& [name, log] : logs.daemons) {
    work.at_targets[name] = PositionsOf(log, IsAtTarget);
  }
  const DaemonLog* const entry = FindEntry(logs);
  if (entry != nullptr) {
    AddEntry(work, *entry);
  }
  AddRest(work);
  std::vector<std::string>& missing = work.explanation.missing;
  if (work.explanation.steps.empty()) {
    missing.emplace_back("no line names the request");
  } else if (!work.explanation.end) {
    missing.emplace_back(
        "the end of the request: the log of its entry is not here, left the "
        "line out, or its process ended first");
  }
  if (logs.unreadable > 0) {
    missing.push_back(fmt::format("{} lines cannot be read", logs.unreadable));
  }
  work.explanation.conclusion = ConclusionOf(work.explanation);
  return std::move(work.explanation);
}

}  // namespace eelgrassbridge::explain
