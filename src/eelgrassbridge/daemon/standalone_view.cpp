// Builds the routing view of a single daemon.
#include "eelgrassbridge/daemon/standalone_view.hpp"

#include <limits>

#include "eelgrassbridge/catalogue/catalogue_queries.hpp"

namespace eelgrassbridge::daemon {

std::shared_ptr<const RoutingView> MakeStandaloneView(
    const settings::Settings& settings,
    const catalogue::Catalogue& catalogue) {
  auto view = std::make_shared<RoutingView>();
  view->self = base::NewDaemonId();
  view->ready = true;
  view->catalogue = std::make_shared<const catalogue::Catalogue>(catalogue);
  for (base::GroupId& group : catalogue::AllGroups(catalogue)) {
    if (group.service != settings.target.service) {
      continue;
    }
    auto gate = std::make_shared<GroupGate>();
    gate->group = group;
    gate->epoch = 1;
    // There are no other owners, so the lease never expires.
    gate->lease_end = std::numeric_limits<std::int64_t>::max() / 2;
    view->owned.emplace(std::move(group), std::move(gate));
  }
  return view;
}

}  // namespace eelgrassbridge::daemon
