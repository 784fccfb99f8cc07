// Conversion and validation of member records and gossip items.
#include "record_conversion.hpp"

#include "eelgrassbridge/wire/codec.hpp"
#include "group_batch.hpp"

namespace eelgrassbridge::wire::detail {

namespace {

auto Invalid(std::string_view detail) {
  return base::Fail(base::ErrorKind::kFrameInvalid, std::string(detail));
}

bool IsRequiredName(std::string_view text) {
  return !text.empty() && IsName(text);
}

}  // namespace

void WriteMember(const MemberRecord& from, pb::Member& to) {
  to.set_id(from.id.value);
  to.set_name(from.name);
  to.set_http_address(from.http_address);
  to.set_peer_address(from.peer_address);
  to.set_data_centre(from.data_centre);
  to.set_region(from.region);
  to.set_service(from.service);
  to.set_fencing_checked(from.fencing_checked);
  to.set_state(static_cast<std::uint32_t>(from.state));
  to.set_record_version(from.record_version);
}

void WriteMembers(const std::vector<MemberRecord>& from, MemberList& to) {
  for (const MemberRecord& record : from) {
    WriteMember(record, *to.Add());
  }
}

void WriteItems(const std::vector<Item>& from, ItemList& to) {
  for (const Item& item : from) {
    pb::Item& added = *to.Add();
    added.set_kind(item.kind);
    added.set_key(item.key);
    added.set_version(item.version);
    added.set_payload(item.payload);
  }
}

base::Result<MemberRecord> ReadMember(const pb::Member& from) {
  if (from.id() == 0 || !IsRequiredName(from.name()) ||
      !IsRequiredName(from.http_address()) ||
      !IsRequiredName(from.peer_address()) ||
      !IsRequiredName(from.data_centre()) || !IsRequiredName(from.region()) ||
      !IsName(from.service()) ||
      from.state() > static_cast<std::uint32_t>(MemberState::kLost)) {
    return Invalid("malformed member record");
  }
  MemberRecord to;
  to.id.value = from.id();
  to.name = from.name();
  to.http_address = from.http_address();
  to.peer_address = from.peer_address();
  to.data_centre = from.data_centre();
  to.region = from.region();
  to.service = from.service();
  to.fencing_checked = from.fencing_checked();
  to.state = static_cast<MemberState>(from.state());
  to.record_version = from.record_version();
  return to;
}

base::Result<std::vector<MemberRecord>> ReadMembers(const MemberList& from) {
  if (from.size() > static_cast<int>(kMaxListItems)) {
    return Invalid("too many member records");
  }
  std::vector<MemberRecord> to;
  to.reserve(from.size());
  for (const pb::Member& member : from) {
    BOOST_OUTCOME_TRY(record, ReadMember(member));
    to.push_back(std::move(record));
  }
  return to;
}

base::Result<std::vector<Item>> ReadItems(const ItemList& from) {
  if (from.size() > static_cast<int>(kMaxListItems)) {
    return Invalid("too many items");
  }
  std::vector<Item> to;
  to.reserve(from.size());
  for (const pb::Item& item : from) {
    if (!IsName(item.key())) {
      return Invalid("malformed item key");
    }
    to.push_back({item.kind(), item.key(), item.version(), item.payload()});
  }
  return to;
}

}  // namespace eelgrassbridge::wire::detail
