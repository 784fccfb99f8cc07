// Counts the daemons that have a catalogue version in force.
#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include "eelgrassbridge/cli/submit_change.hpp"

namespace eelgrassbridge::cli {

namespace {

constexpr std::size_t kMaxListedNames = 20;

std::string JoinNames(const std::vector<std::string>& names) {
  const std::size_t listed = std::min(names.size(), kMaxListedNames);
  std::string text = fmt::format(
      "{}",
      fmt::join(names.begin(),
                names.begin() + static_cast<std::ptrdiff_t>(listed), ", "));
  if (names.size() > listed) {
    text += fmt::format(" and {} more", names.size() - listed);
  }
  return text;
}

}  // namespace

RolloutStatus GetRolloutStatus(const daemon::FleetStatus& status,
                               std::uint64_t version) {
  RolloutStatus rollout;
  for (const daemon::DaemonStatus& daemon : status.daemons) {
    if (daemon.state == "left") {
      continue;
    }
    if (daemon.state == "lost") {
      rollout.lost.push_back(daemon.name);
      continue;
    }
    ++rollout.total;
    if (daemon.catalogue_version >= version) {
      ++rollout.reached;
    } else {
      rollout.missing.push_back(daemon.name);
    }
  }
  return rollout;
}

std::string ToString(const RolloutStatus& rollout) {
  std::string text = fmt::format("in force on {} of {} daemons",
                                 rollout.reached, rollout.total);
  if (!rollout.missing.empty()) {
    text += "; missing: " + JoinNames(rollout.missing);
  }
  if (!rollout.lost.empty()) {
    text += "; lost: " + JoinNames(rollout.lost);
  }
  return text;
}

}  // namespace eelgrassbridge::cli
