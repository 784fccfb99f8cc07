// Ranks candidates by their links and divides the other daemons among the
// first of them.
#include "eelgrassbridge/node/relay_choice.hpp"

#include <algorithm>

namespace eelgrassbridge::node {

std::vector<std::string> RankRelays(std::span<const RelayCandidate> candidates,
                                    std::size_t count) {
  std::vector<RelayCandidate> ranked(candidates.begin(), candidates.end());
  std::ranges::stable_sort(ranked, std::ranges::greater{},
                           &RelayCandidate::link_mbps);
  std::vector<std::string> relays;
  for (const RelayCandidate& candidate : ranked) {
    if (relays.size() < count) {
      relays.emplace_back(candidate.address);
    }
  }
  return relays;
}

std::string RelayOf(std::span<const RelayCandidate> candidates,
                    std::string_view self,
                    std::uint64_t hash,
                    const RelayOptions& options) {
  const std::size_t count =
      (candidates.size() + options.followers_per_relay - 1) /
      options.followers_per_relay;
  const auto relays = RankRelays(candidates, count);
  if (relays.empty() || std::ranges::find(relays, self) != relays.end()) {
    return {};
  }
  return relays[hash % relays.size()];
}

base::Duration UnreportedReadInterval(std::size_t daemons,
                                      const RelayOptions& options) {
  return std::max(options.min_unreported_interval,
                  options.unreported_interval_per_daemon *
                      static_cast<std::int64_t>(daemons));
}

}  // namespace eelgrassbridge::node
