// Lists of groups, column by column. Internal to the part.
#ifndef EELGRASSBRIDGE_WIRE_GROUP_BATCH_HPP
#define EELGRASSBRIDGE_WIRE_GROUP_BATCH_HPP

#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/wire/message.hpp"
#include "peer.pb.h"

namespace eelgrassbridge::wire::detail {

using GroupBatches = google::protobuf::RepeatedPtrField<pb::GroupBatch>;

/// @brief Adds a group to a batch, which must fit it.
void AddToBatch(const GroupEpoch& group, pb::GroupBatch& batch);

/// @brief Writes groups in their order; neighbours of one service and
/// residency share a batch.
void WriteGroups(const std::vector<GroupEpoch>& groups, GroupBatches& batches);

base::Result<std::vector<GroupEpoch>> ReadGroups(const GroupBatches& batches);

/// @brief Reads a batch that must hold exactly one group.
base::Result<GroupEpoch> ReadOneGroup(const pb::GroupBatch& batch);

/// @brief Whether a text is a possible service or residency of a group: not
/// empty, not too long, printable, without '/'.
bool IsGroupName(std::string_view text);

/// @brief Whether a text is short enough and has no control characters.
bool IsName(std::string_view text);

}  // namespace eelgrassbridge::wire::detail

#endif  // EELGRASSBRIDGE_WIRE_GROUP_BATCH_HPP
