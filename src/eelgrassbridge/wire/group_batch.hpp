// Conversion of lists of groups to batches with one array per field. Internal
// to this part.
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

/// @brief Adds a group to a batch, which must be empty or have the same service
/// and residency.
void AddToBatch(const GroupEpoch& group, pb::GroupBatch& batch);

/// @brief Writes groups, keeping their order. Consecutive groups of the same
/// service and residency share a batch.
void WriteGroups(const std::vector<GroupEpoch>& groups, GroupBatches& batches);

/// @brief Reads and validates batches. Fails with kFrameInvalid.
base::Result<std::vector<GroupEpoch>> ReadGroups(const GroupBatches& batches);

/// @brief Reads a batch that must contain exactly one group.
base::Result<GroupEpoch> ReadOneGroup(const pb::GroupBatch& batch);

/// @brief Whether a text is a valid service or residency: a name that is not
/// empty and contains no '/'.
bool IsGroupName(std::string_view text);

/// @brief Whether a text has at most kMaxNameBytes bytes and no control
/// characters.
bool IsName(std::string_view text);

}  // namespace eelgrassbridge::wire::detail

#endif  // EELGRASSBRIDGE_WIRE_GROUP_BATCH_HPP
