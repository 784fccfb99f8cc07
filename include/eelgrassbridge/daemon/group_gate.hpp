// The gate through which each request of an owned group passes on its way to
// the target.
//
// The control thread opens, extends and closes gates; request workers enter
// and leave them. A worker enters first and checks the lease afterwards, so a
// release that waits for in_flight to reach zero cannot miss a request.
#ifndef EELGRASSBRIDGE_DAEMON_GROUP_GATE_HPP
#define EELGRASSBRIDGE_DAEMON_GROUP_GATE_HPP

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string_view>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/ownership/busy_keys.hpp"

namespace eelgrassbridge::daemon {

struct GroupGate {
  base::GroupId group;
  /// Fencing token of all requests through this gate. A new epoch gets a new
  /// gate.
  std::uint64_t epoch = 0;
  /// Lease end in microseconds of BootClock. Only the control thread writes
  /// it. It moves forward, except that zero ends the lease at once.
  std::atomic<std::int64_t> lease_end = 0;
  /// Set when a release has begun; never reset.
  std::atomic<bool> released = false;
  /// Requests between entry and the end of their run on the target.
  std::atomic<std::int64_t> in_flight = 0;
  /// Requests that entered since control last asked; input of the balance.
  std::atomic<std::uint64_t> entered = 0;
  std::mutex busy_keys_mutex;
  /// Keys of these requests; empty in the gate of a hot key.
  ownership::BusyKeys busy_keys;
};

/// @brief Enters the gate if the group may be served now. On true the caller
/// must call Leave exactly once.
bool TryEnter(GroupGate& gate, base::TimePoint now);

/// @brief Ends what TryEnter began.
void Leave(GroupGate& gate);

/// @brief Counts the key of a request that entered. A request that finds
/// another one counting is left out, so that no worker waits; the keys of the
/// others still show the shares.
void CountKey(GroupGate& gate, std::string_view key);

/// @brief What was counted since the last call.
struct GateLoad {
  std::uint64_t entered = 0;
  ownership::BusyKeys busy_keys;
};
GateLoad TakeLoad(GroupGate& gate);

/// @brief Whether the lease still covers that time; checked again right before
/// the hand-over to the target.
bool IsLeaseValid(const GroupGate& gate, base::TimePoint now);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_GROUP_GATE_HPP
