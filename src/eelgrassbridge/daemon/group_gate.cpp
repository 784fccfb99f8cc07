// Admission of requests to a group, and sampling of their keys.
#include "eelgrassbridge/daemon/group_gate.hpp"

#include "eelgrassbridge/base/hash.hpp"

namespace eelgrassbridge::daemon {

bool TryEnter(GroupGate& gate, base::TimePoint now) {
  gate.in_flight.fetch_add(1);
  if (gate.released.load() || !IsLeaseValid(gate, now)) {
    gate.in_flight.fetch_sub(1);
    return false;
  }
  gate.entered.fetch_add(1, std::memory_order_relaxed);
  return true;
}

void Leave(GroupGate& gate) {
  gate.in_flight.fetch_sub(1);
}

void CountKey(GroupGate& gate, std::string_view key) {
  if (gate.group.hot_key) {
    return;
  }
  const std::unique_lock lock(gate.busy_keys_mutex, std::try_to_lock);
  if (lock) {
    ownership::CountKey(gate.busy_keys, base::Hash64(key));
  }
}

GateLoad TakeLoad(GroupGate& gate) {
  GateLoad load;
  load.entered = gate.entered.exchange(0, std::memory_order_relaxed);
  const std::scoped_lock lock(gate.busy_keys_mutex);
  load.busy_keys = gate.busy_keys;
  gate.busy_keys = {};
  return load;
}

bool IsLeaseValid(const GroupGate& gate, base::TimePoint now) {
  return base::ToMicroseconds(now) < gate.lease_end.load();
}

}  // namespace eelgrassbridge::daemon
