// Actions that the ownership core returns to its driver.
//
// The driver carries them out in order. Each may fail or be dropped; the core
// repeats what is still needed at a later tick.
#ifndef EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_ACTIONS_HPP
#define EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_ACTIONS_HPP

#include <cstdint>
#include <variant>
#include <vector>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/ownership/group_row.hpp"
#include "eelgrassbridge/store/row.hpp"

namespace eelgrassbridge::ownership {

/// @brief A group under one epoch.
struct GroupEpoch {
  base::GroupId group;
  std::uint64_t epoch = 0;

  bool operator==(const GroupEpoch&) const = default;
};

/// @brief Message PromiseRequest to a deputy.
struct SendPromiseRequest {
  base::DaemonId to;
  base::TimePoint sent_at;
  std::vector<GroupEpoch> groups;
};

/// @brief Message PromiseReply to an owner; echoes the request's send time.
struct SendPromiseReply {
  base::DaemonId to;
  base::TimePoint echoed_sent_at;
  std::vector<GroupEpoch> granted;
};

/// @brief Message StopPromising from a third-party taker to the deputy.
struct SendStopPromising {
  base::DaemonId to;
  GroupEpoch group;
  /// Version of the row that holds the taker's intent.
  std::uint64_t row_version = 0;
};

/// @brief Answer to StopPromising.
struct SendStoppedPromising {
  base::DaemonId to;
  GroupEpoch group;
  std::uint64_t row_version = 0;
};

/// @brief Message ReleaseDone to the receiver of a planned move, sent after the
/// write that names it is confirmed. The driver adds the request-id record.
struct NotifyReceiver {
  base::DaemonId to;
  GroupEpoch group;
};

/// @brief Pass the transaction to the store writer. Its result is reported
/// through OnTransactionResult with the same operation id.
struct SubmitTransaction {
  store::Transaction transaction;
};

/// @brief Read these rows from the table (not from a cache). The driver records
/// the time just before it sends the read and passes it to OnRowsRead.
struct ReadRows {
  std::vector<base::GroupId> groups;
};

/// @brief Inform the local target that it serves the group under this epoch.
/// Always comes before the OpenGate of the same epoch.
struct SendGrant {
  GroupEpoch group;
};

/// @brief Admit requests of the group until the lease end. Keys in carved_out
/// are not served through this gate.
struct OpenGate {
  GroupEpoch group;
  base::TimePoint lease_end;
  std::vector<std::uint64_t> carved_out;
};

/// @brief Move the lease end of an open gate to a later time.
struct ExtendLease {
  GroupEpoch group;
  base::TimePoint lease_end;
};

/// @brief End the lease of a gate at once and remove the gate. Requests already
/// passed to the target run until their deadlines.
struct CloseGate {
  GroupEpoch group;
};

/// @brief Stop admitting requests, and call OnReleaseDrained once none is in
/// flight. The gate's lease end does not change.
struct BeginDrain {
  GroupEpoch group;
};

/// @brief A row that is newer than the one known before: for the routing view
/// and for gossip. A row without an owner was deleted.
struct RowChanged {
  GroupRow row;
};

using Action = std::variant<SendPromiseRequest,
                            SendPromiseReply,
                            SendStopPromising,
                            SendStoppedPromising,
                            NotifyReceiver,
                            SubmitTransaction,
                            ReadRows,
                            SendGrant,
                            OpenGate,
                            ExtendLease,
                            CloseGate,
                            BeginDrain,
                            RowChanged>;
using Actions = std::vector<Action>;

}  // namespace eelgrassbridge::ownership

#endif  // EELGRASSBRIDGE_OWNERSHIP_OWNERSHIP_ACTIONS_HPP
