// Writing, reading and validation of group batches.
#include "group_batch.hpp"

#include <algorithm>

#include "eelgrassbridge/wire/codec.hpp"

namespace eelgrassbridge::wire::detail {

namespace {

bool Fits(const pb::GroupBatch& batch, const base::GroupId& group) {
  return batch.service() == group.service &&
         batch.residency() == group.residency &&
         (batch.hot_key_size() != 0) == group.hot_key.has_value();
}

bool IsValidBatch(const pb::GroupBatch& batch) {
  return IsGroupName(batch.service()) && IsGroupName(batch.residency()) &&
         batch.index_size() == batch.epoch_size() &&
         (batch.hot_key_size() == 0 ||
          batch.hot_key_size() == batch.index_size());
}

GroupEpoch GroupAt(const pb::GroupBatch& batch, int at) {
  GroupEpoch group;
  group.group.service = batch.service();
  group.group.residency = batch.residency();
  group.group.index = batch.index(at);
  if (batch.hot_key_size() != 0) {
    group.group.hot_key = batch.hot_key(at);
  }
  group.epoch = batch.epoch(at);
  return group;
}

}  // namespace

void AddToBatch(const GroupEpoch& group, pb::GroupBatch& batch) {
  batch.set_service(group.group.service);
  batch.set_residency(group.group.residency);
  batch.add_index(group.group.index);
  batch.add_epoch(group.epoch);
  if (group.group.hot_key) {
    batch.add_hot_key(*group.group.hot_key);
  }
}

void WriteGroups(const std::vector<GroupEpoch>& groups, GroupBatches& batches) {
  for (const GroupEpoch& group : groups) {
    if (batches.empty() ||
        !Fits(batches.Get(batches.size() - 1), group.group)) {
      batches.Add();
    }
    AddToBatch(group, *batches.Mutable(batches.size() - 1));
  }
}

base::Result<std::vector<GroupEpoch>> ReadGroups(const GroupBatches& batches) {
  std::vector<GroupEpoch> groups;
  for (const pb::GroupBatch& batch : batches) {
    if (!IsValidBatch(batch)) {
      return base::Fail(base::ErrorKind::kFrameInvalid, "malformed group list");
    }
    if (groups.size() + batch.index_size() > kMaxListItems) {
      return base::Fail(base::ErrorKind::kFrameInvalid, "too many groups");
    }
    for (int at = 0; at < batch.index_size(); ++at) {
      groups.push_back(GroupAt(batch, at));
    }
  }
  return groups;
}

base::Result<GroupEpoch> ReadOneGroup(const pb::GroupBatch& batch) {
  if (!IsValidBatch(batch) || batch.index_size() != 1) {
    return base::Fail(base::ErrorKind::kFrameInvalid, "malformed group");
  }
  return GroupAt(batch, 0);
}

bool IsGroupName(std::string_view text) {
  return !text.empty() && IsName(text) &&
         text.find('/') == std::string_view::npos;
}

bool IsName(std::string_view text) {
  return text.size() <= kMaxNameBytes &&
         std::none_of(text.begin(), text.end(), [](char letter) {
           return static_cast<unsigned char>(letter) < ' ' || letter == 127;
         });
}

}  // namespace eelgrassbridge::wire::detail
