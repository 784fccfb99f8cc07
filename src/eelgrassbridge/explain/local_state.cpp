// Replays the log lines that change a daemon's local state.
#include "eelgrassbridge/explain/local_state.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <optional>

#include "eelgrassbridge/node/event_log.hpp"

namespace eelgrassbridge::explain {

namespace {

using node::EventKind;

/// Maps an event to the item of local state that it replaces.
struct Rule {
  EventKind event;
  std::string_view subject;
  /// Field that distinguishes several items of one subject; may be empty.
  std::string_view key;
  /// Fixed text that precedes the values of `fields`; may be empty.
  std::string_view value;
  std::array<std::string_view, 4> fields;
};

constexpr std::array kRules{
    Rule{EventKind::kRoutesInForce, "routes", "", "", {"version"}},
    Rule{EventKind::kStoreLost, "store", "", "lost", {"cause"}},
    Rule{EventKind::kStoreRegained, "store", "", "reachable", {}},
    Rule{EventKind::kDataCentreOut,
         "data centre",
         "data_centre",
         "out of service",
         {}},
    Rule{EventKind::kDataCentreBack,
         "data centre",
         "data_centre",
         "in service",
         {}},
    Rule{EventKind::kLeaseAcquired, "lease", "", "held", {"version"}},
    Rule{EventKind::kLeaseLost, "lease", "", "lost", {"cause"}},
    Rule{EventKind::kTargetStarted,
         "target",
         "",
         "started",
         {"target", "born", "slots", "cold_ms"}},
    Rule{EventKind::kTargetCold,
         "cold start",
         "",
         "cold",
         {"cold_ms", "pace", "routes_version"}},
    Rule{EventKind::kTargetWarm, "cold start", "", "over", {}},
    Rule{EventKind::kProcessPaused, "event loop", "", "paused", {"paused_ms"}},
    Rule{EventKind::kTargetLeaving,
         "target",
         "",
         "leaving",
         {"target", "cause"}},
    Rule{EventKind::kRangesChanged,
         "ranges",
         "service",
         "",
         {"version", "entries"}},
    Rule{EventKind::kMemberChanged,
         "member",
         "address",
         "",
         {"target", "serving", "row_version"}},
    Rule{EventKind::kMemberRemoved, "member", "address", "removed", {}},
    Rule{EventKind::kStopping, "process", "", "stopping", {}},
};

const Rule* FindRule(const LogLine& line) {
  const auto found = std::ranges::find_if(kRules, [&line](const Rule& rule) {
    return node::EventName(rule.event) == line.event;
  });
  return found == kRules.end() ? nullptr : &*found;
}

std::string SubjectOf(const Rule& rule, const LogLine& line) {
  return rule.key.empty()
             ? std::string(rule.subject)
             : fmt::format("{} {}", rule.subject, TextOf(line, rule.key));
}

std::string ValueOf(const Rule& rule, const LogLine& line) {
  std::string value(rule.value);
  for (const std::string_view field : rule.fields) {
    const std::string text = TextOf(line, field);
    if (!field.empty() && !text.empty()) {
      value += fmt::format("{}{} {}", value.empty() ? "" : ", ", field, text);
    }
  }
  return value;
}

/// Whether an item is relevant to the request of a line.
bool IsRelevantTo(const StateItem& item, const LogLine& line) {
  const std::string service = TextOf(line, "service");
  const std::string member = TextOf(line, "last_daemon");
  if (item.subject.starts_with("ranges ")) {
    return service.empty() || item.subject == "ranges " + service;
  }
  if (item.subject.starts_with("member ")) {
    return item.subject == "member " + member;
  }
  return true;
}

void SetItem(std::vector<StateItem>& local_state, StateItem item) {
  const auto found =
      std::ranges::find(local_state, item.subject, &StateItem::subject);
  if (found == local_state.end()) {
    local_state.push_back(std::move(item));
  } else {
    *found = std::move(item);
  }
}

}  // namespace

std::vector<StateItem> LocalStateAt(const DaemonLog& log,
                                    std::size_t position) {
  const LogLine& at = log.lines[position];
  std::vector<StateItem> local_state;
  for (std::size_t i = 0; i < position; ++i) {
    const LogLine& line = log.lines[i];
    const Rule* const rule = FindRule(line);
    // The state of an earlier run is lost when the process restarts.
    if (rule == nullptr || line.run != at.run) {
      continue;
    }
    SetItem(local_state, {SubjectOf(*rule, line), ValueOf(*rule, line),
                          at.up_ms - line.up_ms});
  }
  std::erase_if(local_state, [&at](const StateItem& item) {
    return !IsRelevantTo(item, at);
  });
  return local_state;
}

}  // namespace eelgrassbridge::explain
