// Checks the outcomes that callers received against the runs that targets
// logged.
#include "outcome_checker.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <tuple>
#include <utility>

namespace eelgrassbridge::bench {

namespace {

using nlohmann::json;

std::string StringField(const json& line, const char* name) {
  return line.value(name, std::string());
}

std::int64_t LatestKnownEnd(const RunLine& run) {
  return run.end_us == 0 ? run.start_us : run.end_us;
}

void CheckAttempts(const std::vector<AttemptLine>& attempts,
                   const std::vector<RunLine>& runs,
                   Violations& violations) {
  std::set<std::string> tags;
  for (const auto& run : runs) {
    tags.insert(run.tag);
  }
  std::set<std::string> single_ids;
  for (const auto& attempt : attempts) {
    violations.refusals_that_ran +=
        attempt.outcome == "not-run" && tags.contains(attempt.tag) ? 1 : 0;
    violations.other_answers += attempt.fault == "other_answer" ? 1 : 0;
    violations.cut_bodies += attempt.fault == "cut_body" ? 1 : 0;
    if (!attempt.idempotent && !attempt.id.empty()) {
      single_ids.insert(attempt.id);
    }
  }
  std::map<std::string, std::uint64_t> runs_by_id;
  for (const auto& run : runs) {
    if (single_ids.contains(run.id)) {
      violations.ran_twice += ++runs_by_id[run.id] > 1 ? 1 : 0;
    }
  }
}

// Sorts the runs of each key by start time: a run must not start before the
// latest end so far of the runs of other targets.
void CheckKeys(const std::vector<RunLine>& runs, Violations& violations) {
  std::map<std::pair<std::string, std::string>, std::vector<const RunLine*>>
      by_key;
  for (const auto& run : runs) {
    if (!run.group.empty()) {
      by_key[{run.service, run.key}].push_back(&run);
    }
  }
  for (auto& [key, list] : by_key) {
    std::ranges::sort(list, {}, &RunLine::start_us);
    std::map<std::string, std::int64_t> latest_end;
    for (const RunLine* run : list) {
      for (const auto& [target, end] : latest_end) {
        violations.two_targets +=
            target != run->target && run->start_us < end ? 1 : 0;
      }
      auto& end = latest_end[run->target];
      end = std::max(end, LatestKnownEnd(*run));
    }
  }
}

// Two targets, or two threads of one, may log simultaneous starts in either
// order, so only a start later than the first start of a higher epoch counts.
void CheckEpochs(const std::vector<RunLine>& runs, Violations& violations) {
  std::map<std::string, std::vector<const RunLine*>> by_group;
  std::map<std::pair<std::string, std::uint64_t>, std::set<std::string>>
      targets_by_epoch;
  for (const auto& run : runs) {
    if (!run.group.empty()) {
      by_group[run.group].push_back(&run);
      targets_by_epoch[{run.group, run.epoch}].insert(run.target);
    }
  }
  for (const auto& [group_epoch, targets] : targets_by_epoch) {
    violations.two_targets += targets.size() - 1;
  }
  for (auto& [group, list] : by_group) {
    std::ranges::sort(list, {}, &RunLine::start_us);
    // A run that starts under an epoch after the first start of a higher epoch
    // is a violation.
    std::map<std::uint64_t, std::int64_t> first_start;
    for (const RunLine* run : list) {
      first_start.emplace(run->epoch, run->start_us);
    }
    for (const RunLine* run : list) {
      const auto higher = first_start.upper_bound(run->epoch);
      violations.epochs_back +=
          higher != first_start.end() && run->start_us > higher->second ? 1 : 0;
    }
  }
}

}  // namespace

std::vector<AttemptLine> ReadAttempts(std::istream& lines) {
  std::vector<AttemptLine> attempts;
  for (std::string text; std::getline(lines, text);) {
    const json line = json::parse(text, nullptr, false);
    if (!line.is_object()) {
      continue;
    }
    attempts.push_back({.tag = StringField(line, "tag"),
                        .id = StringField(line, "id"),
                        .service = StringField(line, "service"),
                        .kind = StringField(line, "kind"),
                        .idempotent = line.value("idempotent", true),
                        .outcome = StringField(line, "outcome"),
                        .error = StringField(line, "error"),
                        .fault = StringField(line, "fault"),
                        .start_us = line.value("start", std::int64_t{0}),
                        .end_us = line.value("end", std::int64_t{0})});
  }
  return attempts;
}

std::vector<RunLine> ReadRuns(std::istream& lines) {
  std::vector<RunLine> runs;
  std::map<std::tuple<std::string, std::string, std::int64_t>, std::size_t>
      open;
  for (std::string text; std::getline(lines, text);) {
    const json line = json::parse(text, nullptr, false);
    if (!line.is_object()) {
      continue;
    }
    RunLine run{.tag = StringField(line, "tag"),
                .id = StringField(line, "id"),
                .service = StringField(line, "service"),
                .key = StringField(line, "key"),
                .group = StringField(line, "group"),
                .target = StringField(line, "target"),
                .epoch = line.value("epoch", std::uint64_t{0}),
                .start_us = line.value("start", std::int64_t{0}),
                .end_us = line.value("end", std::int64_t{0})};
    const std::tuple name{run.target, run.tag, run.start_us};
    if (run.end_us == 0) {
      open[name] = runs.size();
      runs.push_back(std::move(run));
    } else if (const auto found = open.find(name); found != open.end()) {
      runs[found->second].end_us = run.end_us;
      open.erase(found);
    }
  }
  return runs;
}

Violations Check(const std::vector<AttemptLine>& attempts,
                 const std::vector<RunLine>& runs) {
  Violations violations;
  CheckAttempts(attempts, runs, violations);
  CheckKeys(runs, violations);
  CheckEpochs(runs, violations);
  return violations;
}

}  // namespace eelgrassbridge::bench
