// Start of a daemon's peer bus, and conversions between its messages and the
// types of the membership and ownership cores.
#ifndef EELGRASSBRIDGE_DAEMON_PEER_THREAD_HPP
#define EELGRASSBRIDGE_DAEMON_PEER_THREAD_HPP

#include <memory>
#include <string>
#include <vector>

#include "eelgrassbridge/base/counters.hpp"
#include "eelgrassbridge/membership/membership_actions.hpp"
#include "eelgrassbridge/ownership/ownership_actions.hpp"
#include "eelgrassbridge/settings/settings.hpp"
#include "eelgrassbridge/wire/peer_bus.hpp"

namespace eelgrassbridge::daemon {

/// @brief Starts the bus with the site, address and keys of the settings.
base::Result<std::unique_ptr<wire::PeerBus>> StartPeers(
    const settings::Settings& settings,
    base::DaemonId self,
    base::CounterRegistry& counters,
    base::WakeEvent& control_wake);

/// @brief Formats as "ip:port", with brackets around an IPv6 address.
std::string ToString(const settings::Address& address);

wire::MemberRecord ToWire(const membership::Member& member);
membership::Member FromWire(const wire::MemberRecord& record);

std::vector<wire::MemberRecord> ToWire(
    const std::vector<membership::Member>& members);
std::vector<membership::Member> FromWire(
    const std::vector<wire::MemberRecord>& records);

std::vector<wire::GroupEpoch> ToWire(
    const std::vector<ownership::GroupEpoch>& groups);
std::vector<ownership::GroupEpoch> FromWire(
    const std::vector<wire::GroupEpoch>& groups);

wire::Gossip ToWire(const membership::SendGossip& gossip);
membership::SendGossip FromWire(const wire::Gossip& gossip,
                                base::DaemonId self);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_PEER_THREAD_HPP
