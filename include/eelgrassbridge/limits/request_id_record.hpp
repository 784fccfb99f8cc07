// The owner's record of request ids. It ensures that a non-idempotent request
// runs at most once even if it is resent.
//
// One record belongs to one group and epoch (for unsharded services: to one
// daemon, epoch 0). It must exist as long as the daemon may serve under that
// epoch, even if the lease lapses in between: a second record for the same
// epoch would let ids run again.
#ifndef EELGRASSBRIDGE_LIMITS_REQUEST_ID_RECORD_HPP
#define EELGRASSBRIDGE_LIMITS_REQUEST_ID_RECORD_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/limits/request_id.hpp"

namespace eelgrassbridge::limits {

struct RequestIdRecordOptions {
  std::size_t max_ids = 4096;
  /// Bytes of stored answers, with a fixed allowance for each id.
  std::size_t max_bytes = std::size_t{2} << 20;
  /// Predecessor epochs whose ids are kept after planned moves.
  std::size_t max_predecessors = 2;
};

/// @brief A complete answer stored for resends.
struct StoredAnswer {
  int status = 200;
  std::string content_type;
  std::string body;

  bool operator==(const StoredAnswer&) const = default;
};

/// @brief State of an id whose request has begun and not ended.
struct InProgress {
  bool operator==(const InProgress&) const = default;
};
/// @brief State of an id whose request ended with an unknown outcome, with the
/// error that resends get.
struct EndedUnknown {
  base::ErrorKind kind = base::ErrorKind::kTargetLost;
  bool operator==(const EndedUnknown&) const = default;
};
/// @brief State of one id: in progress, answered, or outcome unknown.
using IdState = std::variant<InProgress, StoredAnswer, EndedUnknown>;

/// @brief Record of one id.
struct IdEntry {
  std::string random;
  /// Hash of the request; the same id with a different request is rejected.
  base::Hash128Value fingerprint;
  IdState state;

  bool operator==(const IdEntry&) const = default;
};

/// @brief Ids issued by one daemon in one epoch.
///
/// Invariants: an id whose sequence lies in [low_water, next_sequence) and is
/// not in `entries` has never begun; ids in progress are never dropped.
struct IdGeneration {
  base::DaemonId issuer;
  std::uint64_t epoch = 0;
  /// Random for each record, so that ids of another group with the same owner
  /// and epoch (such as a split-off hot key) are never mistaken for ids of this
  /// one.
  std::uint64_t first_sequence = 0;
  /// Ids below this sequence that are not in `entries` may have run and been
  /// evicted.
  std::uint64_t low_water = 0;
  std::uint64_t next_sequence = 0;
  std::map<std::uint64_t, IdEntry> entries;

  bool operator==(const IdGeneration&) const = default;
};

/// @brief Request ids of one group and epoch, and those of its predecessors.
struct RequestIdRecord {
  RequestIdRecordOptions options;
  IdGeneration current;
  /// Generations imported in planned moves, newest first.
  std::vector<IdGeneration> predecessors;
  /// Set by ExportRecord: this daemon starts no more requests in this epoch.
  bool closed = false;
  /// Totals over all generations. Both stay within the options' limits, except
  /// that bytes may exceed its limit while only requests in progress remain.
  std::size_t ids = 0;
  std::size_t bytes = 0;
};

/// @brief The request must be run.
struct RunRequest {};
/// @brief The request must be refused with this error.
struct RefuseId {
  base::ErrorKind kind = base::ErrorKind::kIdFromOlderEpoch;
};
/// @brief How to handle a request that carries an id; a StoredAnswer is to be
/// returned to the caller.
using BeginResult = std::variant<RunRequest, StoredAnswer, RefuseId>;

/// @brief Creates an empty record for an epoch of this owner.
RequestIdRecord MakeRecord(base::DaemonId owner,
                           std::uint64_t epoch,
                           const RequestIdRecordOptions& options = {});

/// @brief Issues a new id.
RequestId Issue(RequestIdRecord& record);

/// @brief Returns what Begin would return, except that it doesn't check for
/// room. A resend can thus get its stored answer without waiting for a slot.
BeginResult Peek(const RequestIdRecord& record,
                 const RequestId& id,
                 const base::Hash128Value& fingerprint);

/// @brief Records the id right before the request is passed to the target. On
/// RunRequest, EndAnswered, EndUnknown or EndNotRun must be called exactly
/// once.
BeginResult Begin(RequestIdRecord& record,
                  const RequestId& id,
                  const base::Hash128Value& fingerprint);

/// @brief Ends a request that the target answered completely. An answer above a
/// quarter of max_bytes is not stored; resends are refused with kAnswerCut.
void EndAnswered(RequestIdRecord& record,
                 const RequestId& id,
                 StoredAnswer answer);
/// @brief Ends a request that may have run; resends are refused with `kind`.
void EndUnknown(RequestIdRecord& record,
                const RequestId& id,
                base::ErrorKind kind);
/// @brief Ends a request that provably did not run; its id may be used again.
void EndNotRun(RequestIdRecord& record, const RequestId& id);

/// @brief Closes the record and returns its generations for the receiver of a
/// planned move. Must be called only after the row of the move is confirmed and
/// nothing is in flight. Ids still in progress are exported with an unknown
/// outcome.
std::vector<IdGeneration> ExportRecord(RequestIdRecord& record);

/// @brief Imports the generations of the predecessor. Returns false, without
/// effect, if the record is closed, has already imported, or the epochs don't
/// directly precede this record's: ids of a skipped epoch may have run
/// elsewhere.
bool ImportRecord(RequestIdRecord& record,
                  std::vector<IdGeneration> generations);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_REQUEST_ID_RECORD_HPP
