// The owner's record of request ids, which makes a non-idempotent request run
// at most once under resends.
//
// One record belongs to one group and epoch (for undivided services: to one
// daemon, epoch 0) and must live as long as the daemon may serve under that
// epoch, also across a lapse of the lease; a record made anew for the same
// epoch would run ids again.
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
  /// Bytes of kept answers, with a fixed allowance for each id.
  std::size_t max_bytes = std::size_t{2} << 20;
  /// Predecessor epochs whose ids are kept after planned moves.
  std::size_t max_predecessors = 2;
};

/// @brief A whole answer kept for resends.
struct KeptAnswer {
  int status = 200;
  std::string content_type;
  std::string body;

  bool operator==(const KeptAnswer&) const = default;
};

/// @brief State of one id: in progress, answered, or ended with an unknown
/// outcome of that kind.
struct InProgress {
  bool operator==(const InProgress&) const = default;
};
struct EndedUnknown {
  base::ErrorKind kind = base::ErrorKind::kTargetLost;
  bool operator==(const EndedUnknown&) const = default;
};
using IdState = std::variant<InProgress, KeptAnswer, EndedUnknown>;

struct IdEntry {
  std::string random;
  /// Hash of the request; the same id with another request is refused.
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
  /// Drawn at random for each record, so ids of another group that has the
  /// same owner and epoch (a hot key carved out) are never mistaken for ids of
  /// this one.
  std::uint64_t first_sequence = 0;
  std::uint64_t low_water = 0;
  std::uint64_t next_sequence = 0;
  std::map<std::uint64_t, IdEntry> entries;

  bool operator==(const IdGeneration&) const = default;
};

struct RequestIdRecord {
  RequestIdRecordOptions options;
  IdGeneration current;
  /// Generations taken over in planned moves, newest first.
  std::vector<IdGeneration> predecessors;
  /// Set by ExportRecord: this daemon begins nothing more under the epoch.
  bool closed = false;
  /// Over all generations; within the options' bounds, except that bytes may
  /// exceed theirs while only requests in progress are left.
  std::size_t ids = 0;
  std::size_t bytes = 0;
};

/// @brief What to do with a request that carries an id.
struct RunIt {};
struct RefuseId {
  base::ErrorKind kind = base::ErrorKind::kIdFromOlderEpoch;
};
/// KeptAnswer: give that answer.
using BeginResult = std::variant<RunIt, KeptAnswer, RefuseId>;

RequestIdRecord MakeRecord(base::DaemonId owner,
                           std::uint64_t epoch,
                           const RequestIdRecordOptions& options = {});

/// @brief A fresh id.
RequestId Issue(RequestIdRecord& record);

/// @brief What Begin would answer; lets a resend have its kept answer without
/// waiting for a slot.
BeginResult Peek(const RequestIdRecord& record,
                 const RequestId& id,
                 const base::Hash128Value& fingerprint);

/// @brief Records the id right before the hand-over. On RunIt, EndAnswered,
/// EndUnknown or EndNotRun must follow exactly once.
BeginResult Begin(RequestIdRecord& record,
                  const RequestId& id,
                  const base::Hash128Value& fingerprint);

/// @brief The target gave a whole answer.
void EndAnswered(RequestIdRecord& record,
                 const RequestId& id,
                 KeptAnswer answer);
/// @brief The request may have run.
void EndUnknown(RequestIdRecord& record,
                const RequestId& id,
                base::ErrorKind kind);
/// @brief Proved not run: the id may be used again.
void EndNotRun(RequestIdRecord& record, const RequestId& id);

/// @brief Closes the record and returns its generations for the receiver of a
/// planned move. Call only after the row of the move is confirmed and nothing
/// is in flight; ids still in progress are exported as ended unknown.
std::vector<IdGeneration> ExportRecord(RequestIdRecord& record);

/// @brief Takes the generations of the predecessor. Refused (false) unless the
/// newest one is of the epoch right before this record's, since ids of a
/// skipped epoch may have run elsewhere.
bool ImportRecord(RequestIdRecord& record,
                  std::vector<IdGeneration> generations);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_REQUEST_ID_RECORD_HPP
