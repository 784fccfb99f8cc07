// Admission gate of an owned group: lets requests run on the target only while
// the lease of the group is valid, and counts those in flight.
//
// The control thread opens gates, extends their leases and closes them; request
// workers enter and leave them. A worker increments in_flight before it checks
// the lease, so a release that waits for in_flight to reach zero cannot miss a
// request.
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
  /// Fencing token of all requests that pass this gate. Each epoch has a gate
  /// of its own.
  std::uint64_t epoch = 0;
  /// Lease end in microseconds of BootClock. Written by the control thread
  /// only. It never decreases, except that zero ends the lease at once.
  std::atomic<std::int64_t> lease_end = 0;
  /// Set when a release has begun; never reset.
  std::atomic<bool> released = false;
  /// Requests that have entered and not left yet.
  std::atomic<std::int64_t> in_flight = 0;
  /// Requests that entered since the last TakeLoad; an input of load balancing.
  std::atomic<std::uint64_t> entered = 0;
  std::mutex busy_keys_mutex;
  /// Counts of the keys of these requests; empty in the gate of a hot key.
  ownership::BusyKeys busy_keys;
};

/// @brief Enters the gate if the lease is valid and no release has begun. If it
/// returns true, Leave must be called exactly once.
bool TryEnter(GroupGate& gate, base::TimePoint now);

/// @brief Leaves the gate after a successful TryEnter.
void Leave(GroupGate& gate);

/// @brief Counts the key of a request that entered. The key is skipped if the
/// lock is taken, so that no worker waits; the counted keys are a sample that
/// still shows the share of each key.
void CountKey(GroupGate& gate, std::string_view key);

/// @brief Requests and keys counted since the last TakeLoad.
struct GateLoad {
  std::uint64_t entered = 0;
  ownership::BusyKeys busy_keys;
};
/// @brief Returns the counts and resets them.
GateLoad TakeLoad(GroupGate& gate);

/// @brief Returns whether the lease is valid at that time. It is checked again
/// immediately before a request is sent to the target.
bool IsLeaseValid(const GroupGate& gate, base::TimePoint now);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_GROUP_GATE_HPP
