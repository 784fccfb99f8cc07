// Starts the peer bus and converts its messages.
#include "eelgrassbridge/daemon/peer_thread.hpp"

#include <spdlog/fmt/fmt.h>

namespace eelgrassbridge::daemon {

base::Result<std::unique_ptr<wire::PeerBus>> StartPeers(
    const settings::Settings& settings,
    base::DaemonId self,
    base::CounterRegistry& counters,
    base::WakeEvent& control_wake) {
  wire::PeerBusOptions options;
  options.site = settings.site;
  options.self = self;
  options.bind_address = ToString(settings.peer);
  if (settings.keys) {
    options.keys =
        wire::CurveKeys{settings.keys->public_key, settings.keys->secret_key,
                        settings.keys->accepted_public_keys};
  }
  return wire::StartPeerBus(std::move(options), counters, &control_wake);
}

std::string ToString(const settings::Address& address) {
  return address.ip.find(':') == std::string::npos
             ? fmt::format("{}:{}", address.ip, address.port)
             : fmt::format("[{}]:{}", address.ip, address.port);
}

wire::MemberRecord ToWire(const membership::Member& member) {
  return {member.id,
          member.name,
          member.http_address,
          member.peer_address,
          member.data_centre,
          member.region,
          member.service,
          member.fencing_checked,
          static_cast<wire::MemberState>(member.state),
          member.record_version};
}

membership::Member FromWire(const wire::MemberRecord& record) {
  return {record.id,
          record.name,
          record.http_address,
          record.peer_address,
          record.data_centre,
          record.region,
          record.service,
          record.fencing_checked,
          static_cast<membership::MemberState>(record.state),
          record.record_version};
}

std::vector<wire::MemberRecord> ToWire(
    const std::vector<membership::Member>& members) {
  std::vector<wire::MemberRecord> records;
  records.reserve(members.size());
  for (const membership::Member& member : members) {
    records.push_back(ToWire(member));
  }
  return records;
}

std::vector<membership::Member> FromWire(
    const std::vector<wire::MemberRecord>& records) {
  std::vector<membership::Member> members;
  members.reserve(records.size());
  for (const wire::MemberRecord& record : records) {
    members.push_back(FromWire(record));
  }
  return members;
}

std::vector<wire::GroupEpoch> ToWire(
    const std::vector<ownership::GroupEpoch>& groups) {
  std::vector<wire::GroupEpoch> converted;
  converted.reserve(groups.size());
  for (const ownership::GroupEpoch& group : groups) {
    converted.push_back({group.group, group.epoch});
  }
  return converted;
}

std::vector<ownership::GroupEpoch> FromWire(
    const std::vector<wire::GroupEpoch>& groups) {
  std::vector<ownership::GroupEpoch> converted;
  converted.reserve(groups.size());
  for (const wire::GroupEpoch& group : groups) {
    converted.push_back({group.group, group.epoch});
  }
  return converted;
}

wire::Gossip ToWire(const membership::SendGossip& gossip) {
  wire::Gossip converted{ToWire(gossip.members), {}, gossip.sequence};
  for (const membership::GossipItem& item : gossip.items) {
    converted.items.push_back(
        {item.kind, item.key, item.version, item.payload});
  }
  return converted;
}

membership::SendGossip FromWire(const wire::Gossip& gossip,
                                base::DaemonId self) {
  membership::SendGossip converted{
      self, gossip.position, FromWire(gossip.records), {}};
  for (const wire::Item& item : gossip.items) {
    converted.items.push_back(
        {item.kind, item.key, item.version, item.payload});
  }
  return converted;
}

}  // namespace eelgrassbridge::daemon
