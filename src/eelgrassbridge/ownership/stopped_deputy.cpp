// Checks whether a lost deputy has stopped promising, which lets a third party
// take over without waiting for the deputy's read bound (rule 5 of the design
// page).
#include <algorithm>

#include "eelgrassbridge/ownership/detail/core.hpp"

namespace eelgrassbridge::ownership::detail {

bool IsConfirmedStopped(const OwnershipState& state, base::DaemonId deputy) {
  const auto member = state.placement.members.find(deputy);
  if (member == state.placement.members.end() || state.catalogue == nullptr) {
    return false;
  }
  using What = catalogue::OutOfService::What;
  return std::ranges::any_of(state.catalogue->out_of_service,
                             [&](const catalogue::OutOfService& item) {
                               return item.confirmed_stopped &&
                                      item.name ==
                                          (item.what == What::kDataCentre
                                               ? member->second.data_centre
                                               : member->second.name);
                             });
}

bool IsReplacedAtAddress(const OwnershipState& state, base::DaemonId deputy) {
  const auto& members = state.placement.members;
  const auto lost = members.find(deputy);
  if (lost == members.end() || lost->second.peer_address.empty()) {
    return false;
  }
  return std::ranges::any_of(members, [&](const auto& item) {
    const PlacementMember& other = item.second;
    return other.id != deputy && !state.placement.gone.contains(other.id) &&
           other.name == lost->second.name &&
           other.peer_address == lost->second.peer_address;
  });
}

}  // namespace eelgrassbridge::ownership::detail
