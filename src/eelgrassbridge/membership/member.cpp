// Comparison, JSON encoding and size estimate of member records.
#include "eelgrassbridge/membership/member.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace eelgrassbridge::membership {

namespace {

constexpr std::string_view kMemberPrefix = "member/";
constexpr std::array<std::string_view, 5> kStateNames{
    "joining", "serving", "draining", "left", "lost"};
/// Bytes of identifier, version, state, flag and field headers of one record.
constexpr std::size_t kFixedBytes = 36;

bool HasEnded(const Member& member) {
  return member.state == MemberState::kLeft ||
         member.state == MemberState::kLost;
}

}  // namespace

bool IsAlive(const Member& member) {
  return !HasEnded(member);
}

bool IsNewer(const Member& other, const Member& known) {
  if (known.state == MemberState::kLeft) {
    return false;
  }
  return other.record_version > known.record_version ||
         (other.record_version == known.record_version && HasEnded(other) &&
          !HasEnded(known));
}

std::string_view StateName(MemberState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

std::string MemberKey(base::DaemonId id) {
  return std::string(kMemberPrefix) + base::ToString(id);
}

std::string EncodeMember(const Member& member) {
  return nlohmann::json{{"name", member.name},
                        {"http", member.http_address},
                        {"peer", member.peer_address},
                        {"data_centre", member.data_centre},
                        {"region", member.region},
                        {"service", member.service},
                        {"fencing_checked", member.fencing_checked},
                        {"state", StateName(member.state)},
                        {"record_version", member.record_version}}
      .dump();
}

base::Result<Member> DecodeMember(const store::Row& row) {
  const std::string_view key = row.key;
  const auto id = key.starts_with(kMemberPrefix)
                      ? base::ParseDaemonId(key.substr(kMemberPrefix.size()))
                      : std::nullopt;
  const nlohmann::json json = nlohmann::json::parse(row.value, nullptr, false);
  if (!id || !json.is_object()) {
    return base::Fail(base::ErrorKind::kInternal, "bad member row: " + row.key);
  }
  Member member;
  member.id = *id;
  try {
    member.name = json.at("name").get<std::string>();
    member.http_address = json.at("http").get<std::string>();
    member.peer_address = json.at("peer").get<std::string>();
    member.data_centre = json.at("data_centre").get<std::string>();
    member.region = json.at("region").get<std::string>();
    member.service = json.at("service").get<std::string>();
    member.fencing_checked = json.value("fencing_checked", false);
    member.record_version = json.at("record_version").get<std::uint64_t>();
    const auto state =
        std::ranges::find(kStateNames, json.at("state").get<std::string>());
    if (state == kStateNames.end()) {
      return base::Fail(base::ErrorKind::kInternal,
                        row.key + ": unknown state");
    }
    member.state = static_cast<MemberState>(state - kStateNames.begin());
  } catch (const nlohmann::json::exception& error) {
    return base::Fail(base::ErrorKind::kInternal,
                      row.key + ": " + error.what());
  }
  return member;
}

std::size_t EstimatedSize(const Member& member) {
  return kFixedBytes + member.name.size() + member.http_address.size() +
         member.peer_address.size() + member.data_centre.size() +
         member.region.size() + member.service.size();
}

}  // namespace eelgrassbridge::membership
