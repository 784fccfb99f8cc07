// Exchange of demand, suspects and load as gossip items.
#include "eelgrassbridge/daemon/control_exchange.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/catalogue/catalogue_queries.hpp"
#include "eelgrassbridge/daemon/control_actions.hpp"
#include "eelgrassbridge/daemon/peer_thread.hpp"
#include "eelgrassbridge/membership/membership_queries.hpp"

namespace eelgrassbridge::daemon {

namespace {

using nlohmann::json;

constexpr base::Duration kExchangeInterval = base::seconds{1};
/// The demand of this daemon is split over this many items, so that each item
/// is much smaller than a gossip message.
constexpr std::uint64_t kDemandBuckets = 16;
/// Demand is published once a second in a site of up to 100 daemons and less
/// often in a larger one, which bounds the gossip traffic for demand.
constexpr base::Duration kDemandIntervalPerDaemon = base::milliseconds{10};
/// All daemons together publish at most 10 load items per second.
constexpr base::Duration kLoadIntervalPerDaemon = base::milliseconds{100};
/// A change of the load is published if it exceeds this share of the load last
/// published.
constexpr double kMinLoadChange = 0.1;
/// Maximum digits of a load in requests per second.
constexpr std::size_t kMaxLoadBytes = 9;
constexpr std::size_t kSuspectsPerTick = 32;
/// Number of daemons that receive a suspect directly; the others receive it by
/// gossip.
constexpr std::size_t kMaxDirectReceivers = 128;
constexpr std::size_t kMaxPayloadBytes = 8192;

membership::GossipItem PublishItem(ControlState& state,
                                   base::TimePoint now,
                                   ItemKind kind,
                                   std::string key,
                                   std::string payload) {
  membership::GossipItem item{static_cast<std::uint32_t>(kind), std::move(key),
                              state.next_item_version++, std::move(payload)};
  membership::PublishItem(state.membership, now, item);
  return item;
}

/// Sends an item directly to the other daemons of the service: a caller may
/// send a suspect request again, to any of them, before gossip reaches it.
void SendToService(ControlState& state, const membership::GossipItem& item) {
  std::size_t sent = 0;
  for (const auto& [id, peer] : state.view.peers) {
    if (id != state.self && sent < kMaxDirectReceivers &&
        peer.service == state.settings.target.service) {
      ++sent;
      QueueMessage(state, id,
                   ToWire(membership::SendGossip{id, 0, {}, {item}}));
    }
  }
}

/// Returns the suffix of an item key that restricts the item to the account's
/// home regions, for example "@litoral"; empty if the limit is not of such an
/// account.
std::string RegionSuffix(const ControlState& state,
                         std::string_view limit_name) {
  const auto& catalogue = state.catalogue.current;
  const std::string prefix = limits::AccountLimitName("");
  if (catalogue == nullptr || !limit_name.starts_with(prefix)) {
    return {};
  }
  limit_name.remove_prefix(prefix.size());
  const auto* const account = catalogue::FindAccount(*catalogue, limit_name);
  return account == nullptr || account->home_regions.empty()
             ? std::string()
             : '@' + catalogue::ResidencyName(account->home_regions);
}

/// Sets a demand in its item. If the home regions of the account have changed,
/// the demand in the item of the previous regions is set to zero.
void SetOwnDemand(ControlState& state,
                  const limits::Demand& demand,
                  std::set<std::string>& changed) {
  const auto bucket = base::Hash64(demand.name) % kDemandBuckets;
  const std::string name =
      fmt::format("{}/{}", base::ToString(state.self), bucket);
  const std::string key = name + RegionSuffix(state, demand.name);
  for (auto& [other, demands] : state.own_demand) {
    const auto stale = demands.find(demand.name);
    if (other != key && stale != demands.end() && stale->second != 0) {
      stale->second = 0;
      changed.insert(other);
    }
  }
  state.own_demand[key][demand.name] = demand.requests_per_second;
  changed.insert(key);
}

void PublishDemand(ControlState& state, base::TimePoint now) {
  if (now < state.next_demand) {
    return;
  }
  const auto alive =
      static_cast<std::int64_t>(membership::AliveCount(state.membership));
  state.next_demand =
      now + std::max(kExchangeInterval, alive * kDemandIntervalPerDaemon);
  std::vector<limits::Demand> changed;
  {
    const std::scoped_lock lock(state.context.accounts.mutex);
    changed = limits::PublishDemand(state.context.accounts.limiter, now);
  }
  std::set<std::string> keys;
  for (const limits::Demand& demand : changed) {
    SetOwnDemand(state, demand, keys);
  }
  for (const std::string& key : keys) {
    PublishItem(state, now, ItemKind::kDemand, key,
                json(state.own_demand[key]).dump());
  }
}

void PublishSuspects(ControlState& state, base::TimePoint now) {
  std::vector<routing::SuspectRecord> changed;
  {
    PoisonState& poison = state.context.poison;
    const std::scoped_lock lock(poison.mutex);
    routing::DropExpired(poison.quarantine, now);
    poison.has_suspects = !poison.quarantine.suspects.empty();
    changed =
        routing::TakeChangedSuspects(poison.quarantine, kSuspectsPerTick, now);
  }
  for (const routing::SuspectRecord& record : changed) {
    json deaths = json::array();
    for (const routing::TargetDeath& death : record.deaths) {
      deaths.push_back({death.target_run, death.cleared});
    }
    const auto age_ms =
        std::chrono::duration_cast<base::milliseconds>(record.age).count();
    // The key contains the id of this daemon: daemons may know different
    // deaths, and gossip keeps only the highest version of a key.
    ScheduleGossip(state, now);
    SendToService(
        state, PublishItem(
                   state, now, ItemKind::kSuspect,
                   fmt::format("{}/{:016x}{:016x}", base::ToString(state.self),
                               record.fingerprint.high, record.fingerprint.low),
                   json{record.fingerprint.high, record.fingerprint.low, deaths,
                        base::UnixMilliseconds() - age_ms}
                       .dump()));
  }
}

ownership::GroupDemand MeasureDemand(GroupGate& gate, double seconds) {
  const GateLoad load = TakeLoad(gate);
  const double rate = static_cast<double>(load.entered) / seconds;
  ownership::GroupDemand demand{gate.group, rate, {}};
  for (const ownership::KeyShare& key :
       ownership::BusiestKeys(load.busy_keys)) {
    demand.busiest_keys.push_back({key.key_hash, key.share * rate});
  }
  return demand;
}

/// Publishes the load if it changed by more than a tenth, so that a site under
/// steady load sends no load items.
void PublishLoad(ControlState& state, base::TimePoint now, double exact_load) {
  // Compared in rounded form, as it is published: for a small load, a
  // difference of a fraction would count as a large change.
  const double load = std::round(exact_load);
  const double change = std::abs(load - state.published_load);
  if (now < state.next_load ||
      change <= kMinLoadChange * state.published_load) {
    return;
  }
  const auto alive =
      static_cast<std::int64_t>(membership::AliveCount(state.membership));
  state.next_load =
      now + std::max(kExchangeInterval, alive * kLoadIntervalPerDaemon);
  state.published_load = load;
  PublishItem(state, now, ItemKind::kLoad, base::ToString(state.self),
              fmt::format("{:.0f}", load));
}

void MeasureLoad(ControlState& state, base::TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - state.load_measured_at).count();
  state.load_measured_at = now;
  if (seconds <= 0) {
    return;
  }
  std::vector<ownership::GroupDemand> demands;
  double load = 0;
  for (const auto& [group, gate] : state.gates.open) {
    demands.push_back(MeasureDemand(*gate, seconds));
    load += demands.back().requests_per_second;
  }
  ownership::OnDemand(state.ownership, now, demands);
  PublishLoad(state, now, load);
}

void UpdateFleet(ControlState& state, base::TimePoint now) {
  if (!state.fleet_changed) {
    return;
  }
  state.fleet_changed = false;
  std::uint32_t position = 0;
  std::uint32_t daemons = 1;
  for (const auto& [id, peer] : state.view.peers) {
    if (id != state.self) {
      ++daemons;
      position += id < state.self ? 1 : 0;
    }
  }
  const std::scoped_lock lock(state.context.accounts.mutex);
  limits::SetFleet(state.context.accounts.limiter, state.self, position,
                   daemons, now);
}

std::optional<routing::SuspectRecord> ReadSuspect(
    const membership::GossipItem& item) {
  try {
    const json value = json::parse(item.payload);
    routing::SuspectRecord record;
    value.at(0).get_to(record.fingerprint.high);
    value.at(1).get_to(record.fingerprint.low);
    for (const json& death : value.at(2)) {
      record.deaths.push_back(
          {death.at(0).get<std::uint64_t>(), death.at(1).get<bool>()});
    }
    const auto age = base::UnixMilliseconds() - value.at(3).get<std::int64_t>();
    record.age = base::milliseconds{std::max<std::int64_t>(age, 0)};
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

void TickExchange(ControlState& state, base::TimePoint now) {
  if (state.context.poison.has_unsent_deaths.exchange(false)) {
    PublishSuspects(state, now);
  }
  if (now < state.next_exchange) {
    return;
  }
  state.next_exchange = now + kExchangeInterval;
  UpdateFleet(state, now);
  PublishDemand(state, now);
  PublishSuspects(state, now);
  MeasureLoad(state, now);
}

void OnFleetChange(ControlState& state,
                   base::TimePoint now,
                   const membership::Member& member) {
  state.fleet_changed = true;
  if (!membership::IsAlive(member)) {
    const std::scoped_lock lock(state.context.accounts.mutex);
    limits::RemovePeer(state.context.accounts.limiter, member.id, now);
  }
}

void HandleDemandItem(ControlState& state,
                      base::TimePoint now,
                      const membership::GossipItem& item) {
  const auto id = base::ParseDaemonId(
      std::string_view(item.key).substr(0, item.key.find('/')));
  const json value = item.payload.size() > kMaxPayloadBytes
                         ? json()
                         : json::parse(item.payload, nullptr, false);
  if (!id || *id == state.self || !value.is_object()) {
    return;
  }
  std::vector<limits::Demand> demands;
  for (const auto& [name, rate] : value.items()) {
    if (rate.is_number() && rate.get<double>() >= 0) {
      demands.push_back({name, rate.get<double>()});
    }
  }
  const std::scoped_lock lock(state.context.accounts.mutex);
  limits::MergeDemand(state.context.accounts.limiter, *id, demands, now);
}

void HandleLoadItem(ControlState& state, const membership::GossipItem& item) {
  const auto id = base::ParseDaemonId(item.key);
  const std::string_view text = item.payload;
  std::uint64_t load = 0;
  const auto read =
      std::from_chars(text.data(), text.data() + text.size(), load);
  if (id && text.size() <= kMaxLoadBytes && read.ec == std::errc{} &&
      read.ptr == text.data() + text.size()) {
    ownership::OnPeerLoad(state.ownership, *id, static_cast<double>(load));
  }
}

void HandleSuspectItem(ControlState& state,
                       base::TimePoint now,
                       const membership::GossipItem& item) {
  const auto record = ReadSuspect(item);
  if (!record || record->age > state.context.poison.quarantine.options.hold) {
    return;
  }
  // The suspects of this daemon are published first. The record merged below
  // is already being gossiped, and must not be published again by each daemon
  // that receives it.
  PublishSuspects(state, now);
  const std::scoped_lock lock(state.context.poison.mutex);
  routing::PoisonQuarantine& quarantine = state.context.poison.quarantine;
  routing::MergeSuspect(quarantine, *record, now);
  routing::TakeChangedSuspects(quarantine, kSuspectsPerTick, now);
  state.context.poison.has_suspects = !quarantine.suspects.empty();
}

}  // namespace eelgrassbridge::daemon
