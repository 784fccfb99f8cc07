// Probes: pings to members that are chosen at random or suspected by others, in
// addition to the watched ones.
#include <iterator>
#include <optional>
#include <string_view>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/membership/detail.hpp"
#include "eelgrassbridge/membership/membership_queries.hpp"

namespace eelgrassbridge::membership::detail {

namespace {

/// Limits the pings of one daemon while many members do not respond, e.g. after
/// the loss of a data centre. Members left out are chosen again later.
constexpr std::size_t kMaxProbes = 32;

/// Returns a pseudo-random number that differs by daemon and by call.
std::uint64_t NextChoice(MembershipState& state) {
  const std::uint64_t count = ++state.choice_count;
  const std::string_view bytes(reinterpret_cast<const char*>(&count),
                               sizeof count);
  return base::Hash64(bytes, state.self.id.value);
}

/// Returns a random alive member of the region, or of the whole site if no
/// region is given. The id is unset if the choice falls on this daemon.
base::DaemonId ChooseMember(MembershipState& state,
                            std::optional<std::string_view> region) {
  const auto is_in = [&](std::string_view data_centre) {
    return !region || state.region_of.find(data_centre)->second == *region;
  };
  std::size_t count = 0;
  for (const auto& [name, alive] : state.by_data_centre) {
    count += is_in(name) ? alive.size() : 0;
  }
  if (count == 0) {
    return {};
  }
  std::size_t at = NextChoice(state) % count;
  for (const auto& [name, alive] : state.by_data_centre) {
    if (!is_in(name)) {
      continue;
    }
    if (at < alive.size()) {
      const base::DaemonId id =
          *std::next(alive.begin(), static_cast<std::ptrdiff_t>(at));
      return id == state.self.id ? base::DaemonId{} : id;
    }
    at -= alive.size();
  }
  return {};
}

}  // namespace

void StartProbe(MembershipState& state,
                base::TimePoint now,
                base::DaemonId id) {
  if (id && id != state.self.id && state.probed.size() < kMaxProbes &&
      !state.watched.contains(id)) {
    state.probed.try_emplace(id, PingState{{}, {}, now, {}});
  }
}

void TickProbes(MembershipState& state, base::TimePoint now) {
  std::erase_if(state.probed, [&](const auto& item) {
    const Member* member = FindMember(state, item.first);
    return member == nullptr || !IsAlive(*member) ||
           state.watched.contains(item.first);
  });
  if (now < state.next_probe) {
    return;
  }
  state.next_probe = now + state.options.probe_interval;
  // Only within the region: traffic between regions is billed, and a missing
  // answer from there more often means a link failure than a lost member.
  StartProbe(state, now, ChooseMember(state, state.self.region));
}

std::vector<base::DaemonId> ChooseHelpers(MembershipState& state,
                                          base::DaemonId suspect) {
  std::vector<base::DaemonId> helpers;
  const auto add = [&](std::uint32_t count,
                       std::optional<std::string_view> region) {
    for (std::uint32_t i = 0; i < count; ++i) {
      const base::DaemonId id = ChooseMember(state, region);
      if (id && id != suspect) {
        helpers.push_back(id);
      }
    }
  };
  add(state.options.helpers_in_region, state.self.region);
  add(state.options.helpers_anywhere, std::nullopt);
  return helpers;
}

}  // namespace eelgrassbridge::membership::detail
