// The request-id records of all groups that this daemon owns.
#ifndef EELGRASSBRIDGE_DAEMON_REQUEST_ID_RECORDS_HPP
#define EELGRASSBRIDGE_DAEMON_REQUEST_ID_RECORDS_HPP

#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/limits/request_id_record.hpp"

namespace eelgrassbridge::daemon {

/// @brief Records by group; for undivided services the group has the service's
/// name, no residency and epoch 0.
///
/// Invariant: a record lives until a later epoch of its group begins here or
/// the group is handed over, also while the lease has lapsed; a record made
/// anew for the same epoch would run an id twice.
struct RequestIdRecords {
  std::mutex mutex;
  std::unordered_map<base::GroupId, limits::RequestIdRecord> by_group;
};

/// @brief Group under which ids of an undivided service are recorded.
base::GroupId UndividedGroup(std::string_view service);

/// @brief A fresh id of the group in that epoch.
std::string IssueId(RequestIdRecords& records,
                    const base::GroupId& group,
                    base::DaemonId self,
                    std::uint64_t epoch);

/// @brief Begins a request with an id; see limits::Begin.
limits::BeginResult BeginId(RequestIdRecords& records,
                            const base::GroupId& group,
                            base::DaemonId self,
                            std::uint64_t epoch,
                            const limits::RequestId& id,
                            const base::Hash128Value& fingerprint);

/// @brief How a begun request ended.
struct IdEndAnswered {
  limits::StoredAnswer answer;
};
struct IdEndUnknown {
  base::ErrorKind kind = base::ErrorKind::kTargetLost;
};
struct IdEndNotRun {};
using IdEnd = std::variant<IdEndAnswered, IdEndUnknown, IdEndNotRun>;

/// @brief Ends what BeginId began, exactly once.
void EndId(RequestIdRecords& records,
           const base::GroupId& group,
           const limits::RequestId& id,
           IdEnd end);

/// @brief Closes the record of a group that was handed over and returns its
/// generations for the receiver.
std::vector<limits::IdGeneration> ExtractIdRecord(RequestIdRecords& records,
                                                  const base::GroupId& group);

/// @brief Takes over the generations of the former owner after a planned move.
/// False: they do not belong right before this epoch.
bool ImportIdRecord(RequestIdRecords& records,
                    const base::GroupId& group,
                    base::DaemonId self,
                    std::uint64_t epoch,
                    std::vector<limits::IdGeneration> generations);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_REQUEST_ID_RECORDS_HPP
