// Counting of the daemons that have a catalogue version in force.
#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include "eelgrassbridge/cli/submit_change.hpp"

namespace eelgrassbridge::cli {

namespace {

constexpr std::size_t kMaxNamed = 20;

std::string Names(const std::vector<std::string>& names) {
  const std::size_t shown = std::min(names.size(), kMaxNamed);
  std::string text = fmt::format(
      "{}",
      fmt::join(names.begin(),
                names.begin() + static_cast<std::ptrdiff_t>(shown), ", "));
  if (names.size() > shown) {
    text += fmt::format(" and {} more", names.size() - shown);
  }
  return text;
}

}  // namespace

InForce CountInForce(const daemon::FleetStatus& status, std::uint64_t version) {
  InForce result;
  for (const daemon::DaemonStatus& daemon : status.daemons) {
    if (daemon.state == "left") {
      continue;
    }
    if (daemon.state == "lost") {
      result.lost.push_back(daemon.name);
      continue;
    }
    ++result.total;
    if (daemon.catalogue_version >= version) {
      ++result.reached;
    } else {
      result.missing.push_back(daemon.name);
    }
  }
  return result;
}

std::string ToString(const InForce& in_force) {
  std::string text = fmt::format("in force on {} of {} daemons",
                                 in_force.reached, in_force.total);
  if (!in_force.missing.empty()) {
    text += "; missing: " + Names(in_force.missing);
  }
  if (!in_force.lost.empty()) {
    text += "; lost: " + Names(in_force.lost);
  }
  return text;
}

}  // namespace eelgrassbridge::cli
