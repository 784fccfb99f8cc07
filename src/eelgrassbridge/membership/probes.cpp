// Probes: pings to members that are chosen at random or suspected by others.
#include <iterator>
#include <optional>
#include <string_view>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/membership/detail.hpp"
#include "eelgrassbridge/membership/membership_queries.hpp"

namespace eelgrassbridge::membership::detail {

namespace {

/// Bounds the pings of one daemon while many members are silent, e.g. after the
/// loss of a data centre; what is left out is chosen again later.
constexpr std::size_t kMaxProbes = 32;

/// A number that looks random, different for each daemon and each choice.
std::uint64_t NextChoice(MembershipState& state) {
  const std::uint64_t count = ++state.choices;
  const std::string_view bytes(reinterpret_cast<const char*>(&count),
                               sizeof count);
  return base::Hash64(bytes, state.self.id.value);
}

/// An alive member of the region, or of the whole site if none is given; none
/// if the choice falls on this daemon.
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

void BeginProbe(MembershipState& state,
                base::TimePoint now,
                base::DaemonId id) {
  if (id && id != state.self.id && state.probed.size() < kMaxProbes &&
      !state.watched.contains(id)) {
    state.probed.try_emplace(id, Watched{{}, {}, now, {}});
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
  // Only within the region: between regions bytes are billed, and silence is
  // more often a cut link than a loss.
  BeginProbe(state, now, ChooseMember(state, state.self.region));
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
