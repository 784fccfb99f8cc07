// Entry to and exit from a gate.
#include "eelgrassbridge/daemon/group_gate.hpp"

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

bool IsLeaseValid(const GroupGate& gate, base::TimePoint now) {
  return base::ToMicroseconds(now) < gate.lease_end.load();
}

}  // namespace eelgrassbridge::daemon
