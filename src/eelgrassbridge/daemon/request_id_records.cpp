// Access to the records under one mutex; each call takes a few map operations.
#include "eelgrassbridge/daemon/request_id_records.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// Returns the record of a group for that epoch, creating it if necessary. A
/// record of a later epoch is kept, since an older epoch can no longer serve.
/// Must be called with the mutex held.
limits::RequestIdRecord& FindOrMakeRecord(RequestIdRecords& records,
                                          const base::GroupId& group,
                                          base::DaemonId self,
                                          std::uint64_t epoch) {
  const auto found = records.by_group.find(group);
  if (found == records.by_group.end()) {
    return records.by_group.emplace(group, limits::MakeRecord(self, epoch))
        .first->second;
  }
  if (found->second.current.epoch < epoch) {
    found->second = limits::MakeRecord(self, epoch);
  }
  return found->second;
}

}  // namespace

base::GroupId UndividedGroup(std::string_view service) {
  return {std::string(service), "", 0, std::nullopt};
}

std::string IssueId(RequestIdRecords& records,
                    const base::GroupId& group,
                    base::DaemonId self,
                    std::uint64_t epoch) {
  const std::scoped_lock lock(records.mutex);
  return limits::ToString(
      limits::Issue(FindOrMakeRecord(records, group, self, epoch)));
}

limits::BeginResult BeginId(RequestIdRecords& records,
                            const base::GroupId& group,
                            base::DaemonId self,
                            std::uint64_t epoch,
                            const limits::RequestId& id,
                            const base::Hash128Value& fingerprint) {
  const std::scoped_lock lock(records.mutex);
  return limits::Begin(FindOrMakeRecord(records, group, self, epoch), id,
                       fingerprint);
}

void EndId(RequestIdRecords& records,
           const base::GroupId& group,
           const limits::RequestId& id,
           IdEnd end) {
  const std::scoped_lock lock(records.mutex);
  const auto found = records.by_group.find(group);
  if (found == records.by_group.end()) {
    return;
  }
  limits::RequestIdRecord& record = found->second;
  if (auto* answered = std::get_if<IdEndAnswered>(&end)) {
    limits::EndAnswered(record, id, std::move(answered->answer));
  } else if (const auto* unknown = std::get_if<IdEndUnknown>(&end)) {
    limits::EndUnknown(record, id, unknown->kind);
  } else {
    limits::EndNotRun(record, id);
  }
}

std::vector<limits::IdGeneration> ExtractIdRecord(RequestIdRecords& records,
                                                  const base::GroupId& group) {
  const std::scoped_lock lock(records.mutex);
  const auto found = records.by_group.find(group);
  if (found == records.by_group.end()) {
    return {};
  }
  std::vector<limits::IdGeneration> generations =
      limits::ExportRecord(found->second);
  records.by_group.erase(found);
  return generations;
}

bool ImportIdRecord(RequestIdRecords& records,
                    const base::GroupId& group,
                    base::DaemonId self,
                    std::uint64_t epoch,
                    std::vector<limits::IdGeneration> generations) {
  const std::scoped_lock lock(records.mutex);
  return limits::ImportRecord(FindOrMakeRecord(records, group, self, epoch),
                              std::move(generations));
}

}  // namespace eelgrassbridge::daemon
