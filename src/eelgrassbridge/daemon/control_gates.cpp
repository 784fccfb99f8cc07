// Opens, extends, drains and closes gates.
#include "eelgrassbridge/daemon/control_gates.hpp"

#include <algorithm>

namespace eelgrassbridge::daemon {

namespace {

/// Returns whether a gate of `gate_group` may have admitted keys of `group`.
bool MayHaveAdmitted(const base::GroupId& gate_group,
                     const base::GroupId& group) {
  if (gate_group == group) {
    return true;
  }
  return group.hot_key && !gate_group.hot_key &&
         gate_group.service == group.service &&
         gate_group.residency == group.residency &&
         gate_group.index == group.index;
}

bool IsEmpty(const ControlGates& gates, const base::GroupId& group) {
  const auto open = gates.open.find(group);
  if (open != gates.open.end() && open->second->in_flight.load() != 0) {
    return false;
  }
  return std::ranges::none_of(gates.closed, [&](const auto& gate) {
    return MayHaveAdmitted(gate->group, group) && gate->in_flight.load() != 0;
  });
}

void Retire(ControlGates& gates, std::shared_ptr<GroupGate> gate) {
  gate->released.store(true);
  gate->lease_end.store(0);
  gates.closed.push_back(std::move(gate));
}

}  // namespace

void OpenGroupGate(ControlGates& gates, const ownership::OpenGate& action) {
  auto gate = std::make_shared<GroupGate>();
  gate->group = action.group.group;
  gate->epoch = action.group.epoch;
  gate->lease_end.store(base::ToMicroseconds(action.lease_end));
  std::shared_ptr<GroupGate>& slot = gates.open[action.group.group];
  if (slot != nullptr) {
    Retire(gates, std::move(slot));
  }
  slot = std::move(gate);
}

void ExtendGate(ControlGates& gates, const ownership::ExtendLease& action) {
  const auto found = gates.open.find(action.group.group);
  if (found == gates.open.end() || found->second->epoch != action.group.epoch) {
    return;
  }
  const std::int64_t end = base::ToMicroseconds(action.lease_end);
  if (end > found->second->lease_end.load()) {
    found->second->lease_end.store(end);
  }
}

void CloseGroupGate(ControlGates& gates, const ownership::GroupEpoch& group) {
  const auto found = gates.open.find(group.group);
  if (found == gates.open.end() || found->second->epoch != group.epoch) {
    return;
  }
  Retire(gates, std::move(found->second));
  gates.open.erase(found);
}

void BeginGateDrain(ControlGates& gates, const ownership::GroupEpoch& group) {
  const auto found = gates.open.find(group.group);
  if (found != gates.open.end() && found->second->epoch == group.epoch) {
    found->second->released.store(true);
  }
  if (std::ranges::find(gates.draining, group) == gates.draining.end()) {
    gates.draining.push_back(group);
  }
}

std::vector<ownership::GroupEpoch> TakeFinishedDrains(ControlGates& gates) {
  std::vector<ownership::GroupEpoch> finished;
  std::erase_if(gates.draining, [&](const ownership::GroupEpoch& group) {
    if (!IsEmpty(gates, group.group)) {
      return false;
    }
    finished.push_back(group);
    return true;
  });
  // This must come after the drains above, which check the closed gates.
  std::erase_if(gates.closed,
                [](const auto& gate) { return gate->in_flight.load() == 0; });
  return finished;
}

}  // namespace eelgrassbridge::daemon
