// The request-id records of all groups that this daemon owns, guarded by one
// mutex.
#ifndef EELGRASSBRIDGE_DAEMON_REQUEST_ID_RECORDS_HPP
#define EELGRASSBRIDGE_DAEMON_REQUEST_ID_RECORDS_HPP

#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/limits/request_id_record.hpp"

namespace eelgrassbridge::daemon {

/// @brief Records by group. An undivided service has one group with its name,
/// no residency and epoch 0.
///
/// Invariant: a record is kept until a later epoch of its group begins here or
/// the group is handed over, even if the lease has expired. A second record for
/// the same epoch would let an id run twice.
struct RequestIdRecords {
  std::mutex mutex;
  std::unordered_map<base::GroupId, limits::RequestIdRecord> by_group;
};

/// @brief Returns the group under which ids of an undivided service are
/// recorded.
base::GroupId UndividedGroup(std::string_view service);

/// @brief Issues a new id of the group in that epoch.
std::string IssueId(RequestIdRecords& records,
                    const base::GroupId& group,
                    base::DaemonId self,
                    std::uint64_t epoch);

/// @brief Begins a request with an id; see limits::Begin. EndId must follow
/// exactly once if the request may run.
limits::BeginResult BeginId(RequestIdRecords& records,
                            const base::GroupId& group,
                            base::DaemonId self,
                            std::uint64_t epoch,
                            const limits::RequestId& id,
                            const base::Hash128Value& fingerprint);

/// @brief The ways in which a request with an id can end.
struct IdEndAnswered {
  limits::StoredAnswer answer;
};
struct IdEndUnknown {
  base::ErrorKind kind = base::ErrorKind::kTargetLost;
};
struct IdEndNotRun {};
using IdEnd = std::variant<IdEndAnswered, IdEndUnknown, IdEndNotRun>;

/// @brief Records the end of a request that BeginId let run.
void EndId(RequestIdRecords& records,
           const base::GroupId& group,
           const limits::RequestId& id,
           IdEnd end);

/// @brief Removes the record of a group that was handed over and returns its
/// generations, which are sent to the new owner.
std::vector<limits::IdGeneration> ExtractIdRecord(RequestIdRecords& records,
                                                  const base::GroupId& group);

/// @brief Imports the generations of the previous owner after a planned move.
/// Returns false if they do not directly precede this epoch.
bool ImportIdRecord(RequestIdRecords& records,
                    const base::GroupId& group,
                    base::DaemonId self,
                    std::uint64_t epoch,
                    std::vector<limits::IdGeneration> generations);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_REQUEST_ID_RECORDS_HPP
