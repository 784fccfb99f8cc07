// Replay of the lines that change what a process believes.
#include "eelgrassbridge/explain/beliefs.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <optional>

#include "eelgrassbridge/node/event_log.hpp"

namespace eelgrassbridge::explain {

namespace {

using node::EventKind;

/// A kind of line that changes one belief.
struct Rule {
  EventKind event;
  std::string_view subject;
  /// Field that tells the subject apart from others of its kind; may be empty.
  std::string_view key;
  /// What the line says, if it is not told by `fields`.
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

const Rule* RuleFor(const LogLine& line) {
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

/// Whether a belief bears on the request of a line.
bool Concerns(const Belief& belief, const LogLine& line) {
  const std::string service = TextOf(line, "service");
  const std::string member = TextOf(line, "last_daemon");
  if (belief.subject.starts_with("ranges ")) {
    return service.empty() || belief.subject == "ranges " + service;
  }
  if (belief.subject.starts_with("member ")) {
    return belief.subject == "member " + member;
  }
  return true;
}

void Set(std::vector<Belief>& beliefs, Belief belief) {
  const auto found =
      std::ranges::find(beliefs, belief.subject, &Belief::subject);
  if (found == beliefs.end()) {
    beliefs.push_back(std::move(belief));
  } else {
    *found = std::move(belief);
  }
}

}  // namespace

std::vector<Belief> BeliefsAt(const DaemonLog& log, std::size_t position) {
  const LogLine& at = log.lines[position];
  std::vector<Belief> beliefs;
  for (std::size_t i = 0; i < position; ++i) {
    const LogLine& line = log.lines[i];
    const Rule* const rule = RuleFor(line);
    // An earlier life of the process told this one nothing.
    if (rule == nullptr || line.life != at.life) {
      continue;
    }
    Set(beliefs,
        {SubjectOf(*rule, line), ValueOf(*rule, line), at.up_ms - line.up_ms});
  }
  std::erase_if(beliefs,
                [&at](const Belief& belief) { return !Concerns(belief, at); });
  return beliefs;
}

}  // namespace eelgrassbridge::explain
