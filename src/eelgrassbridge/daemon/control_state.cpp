// Initial control state, and its output queues.
#include "eelgrassbridge/daemon/control_state.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "eelgrassbridge/daemon/peer_thread.hpp"
#include "eelgrassbridge/membership/membership_queries.hpp"

namespace eelgrassbridge::daemon {

namespace {

membership::Member SelfRecord(const settings::Settings& settings,
                              base::DaemonId id) {
  membership::Member self;
  self.id = id;
  self.name = settings.name;
  self.http_address = ToString(settings.http);
  self.peer_address = ToString(settings.peer);
  self.data_centre = settings.data_centre;
  self.region = settings.region;
  self.service = settings.target.service;
  self.fencing_checked = settings.target.checks_fencing;
  return self;
}

ownership::OwnershipOptions OwnershipOptionsOf(
    const settings::Settings& settings) {
  ownership::OwnershipOptions options;
  options.lease = settings.lease.lease;
  options.clock_rate_bound_ppm = settings.lease.clock_rate_bound_ppm;
  options.deputy_read_bound = settings.lease.deputy_read_bound;
  options.promise_interval = settings.lease.promise_interval;
  options.store_timeout = settings.store.timeout;
  return options;
}

membership::MembershipOptions MembershipOptionsOf(
    const settings::Settings& settings) {
  membership::MembershipOptions options;
  options.gossip_interval = settings.membership.gossip_interval;
  options.ping_interval = settings.membership.ping_interval;
  options.suspicion_timeout = settings.membership.suspicion_timeout;
  const std::string own = ToString(settings.peer);
  for (const settings::Address& seed : settings.seeds) {
    if (ToString(seed) != own) {
      options.seeds.push_back(ToString(seed));
    }
  }
  return options;
}

}  // namespace

ControlState::ControlState(const settings::Settings& daemon_settings,
                           const catalogue::Catalogue& first_catalogue,
                           RequestContext& request_context,
                           base::DaemonId id,
                           base::TimePoint now)
    : settings(daemon_settings),
      initial_catalogue(first_catalogue),
      context(request_context),
      self(id),
      ownership(
          ownership::MakeOwnershipState(id,
                                        OwnershipOptionsOf(daemon_settings),
                                        now)),
      membership(
          membership::MakeMembershipState(SelfRecord(daemon_settings, id),
                                          MembershipOptionsOf(daemon_settings),
                                          now)) {
  this->started_at = now;
  this->view.next.self = id;
  this->view.is_changed = true;
}

std::string PeerAddressOf(const ControlState& state, base::DaemonId id) {
  const membership::Member* const member =
      membership::FindMember(state.membership, id);
  return member == nullptr ? std::string() : member->peer_address;
}

void QueueMessage(ControlState& state,
                  base::DaemonId to,
                  wire::Message message) {
  const membership::Member* const member =
      membership::FindMember(state.membership, to);
  if (member == nullptr) {
    base::GetCounter(state.context.counters, "control_unknown_receiver_total")
        .fetch_add(1, std::memory_order_relaxed);
    return;
  }
  state.to_peers.push_back({to, member->peer_address, std::move(message),
                            member->region != state.settings.region});
}

void QueueRead(ControlState& state, std::vector<std::string> keys) {
  for (StoreRead& waiting : state.to_reader) {
    if (auto* const read = std::get_if<ReadKeys>(&waiting)) {
      for (std::string& key : keys) {
        if (std::ranges::find(read->keys, key) == read->keys.end()) {
          read->keys.push_back(std::move(key));
        }
      }
      return;
    }
  }
  state.to_reader.emplace_back(ReadKeys{std::move(keys)});
}

std::string NextOperationId(ControlState& state) {
  return fmt::format("{}-control-{}", base::ToString(state.self),
                     state.next_operation++);
}

}  // namespace eelgrassbridge::daemon
