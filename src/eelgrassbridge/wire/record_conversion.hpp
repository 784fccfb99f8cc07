// Conversion of member records and gossip items to and from protobuf. The read
// functions validate and fail with kFrameInvalid. Internal to this part.
#ifndef EELGRASSBRIDGE_WIRE_RECORD_CONVERSION_HPP
#define EELGRASSBRIDGE_WIRE_RECORD_CONVERSION_HPP

#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/wire/message.hpp"
#include "peer.pb.h"

namespace eelgrassbridge::wire::detail {

using MemberList = google::protobuf::RepeatedPtrField<pb::Member>;
using ItemList = google::protobuf::RepeatedPtrField<pb::Item>;

void WriteMember(const MemberRecord& from, pb::Member& to);
void WriteMembers(const std::vector<MemberRecord>& from, MemberList& to);
void WriteItems(const std::vector<Item>& from, ItemList& to);

base::Result<MemberRecord> ReadMember(const pb::Member& from);
base::Result<std::vector<MemberRecord>> ReadMembers(const MemberList& from);
base::Result<std::vector<Item>> ReadItems(const ItemList& from);

}  // namespace eelgrassbridge::wire::detail

#endif  // EELGRASSBRIDGE_WIRE_RECORD_CONVERSION_HPP
