// Lookup of key owners, and choice among members within the home regions of
// route and account.
#include "eelgrassbridge/node/destination.hpp"

#include <algorithm>
#include <iterator>
#include <vector>

#include "eelgrassbridge/node/link_share.hpp"

namespace eelgrassbridge::node {

namespace {

using catalogue::Route;
using catalogue::RoutedAccount;

/// The account by the routes in force; null if the request has none.
const RoutedAccount* AccountOf(const Node& node, const RequestTerms& terms) {
  return node.routes && !terms.account.empty()
             ? catalogue::FindAccount(*node.routes, terms.account)
             : nullptr;
}

std::optional<Destination> OwnerOfKey(const Node& node,
                                      const RequestTerms& terms) {
  const auto found = node.ranges.find(terms.service);
  if (found == node.ranges.end()) {
    return std::nullopt;
  }
  const auto* const entry = ranges::FindEntry(found->second.map, *terms.key);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return Destination{entry->owner.daemon, entry->owner.target};
}

/// Uploads leave their region only if no target is available in it, because
/// their long bodies would fill the link between regions that all requests
/// share.
std::optional<base::DaemonId> ChooseTarget(
    Node& node,
    const routing::TargetTable& table,
    const RequestTerms& terms,
    std::span<const base::DaemonId> tried,
    std::span<const std::uint64_t> homes) {
  using routing::Locality;
  const base::TimePoint now = base::BootClock::now();
  std::optional<base::DaemonId> chosen;
  std::optional<base::Duration> max_link_wait;
  if (terms.request_class == catalogue::RequestClass::kDownload) {
    max_link_wait = ScaleDuration(terms.objective, kLinkSendShare);
  }
  if (terms.request_class == catalogue::RequestClass::kUpload) {
    chosen = routing::ChooseTarget(table, node.random(), tried, now,
                                   Locality::kRegion, homes);
  }
  if (!chosen) {
    chosen =
        routing::ChooseTarget(table, node.random(), tried, now,
                              Locality::kOtherRegion, homes, max_link_wait);
  }
  return chosen;
}

std::optional<Destination> ChooseMember(Node& node,
                                        const Route& route,
                                        const RequestTerms& terms,
                                        std::span<const base::DaemonId> tried) {
  const auto regions = catalogue::AllowedRegions(route, AccountOf(node, terms));
  if (regions && regions->empty()) {
    return std::nullopt;
  }
  const auto table = node.fleet.targets.find(terms.service);
  if (table == node.fleet.targets.end()) {
    return std::nullopt;
  }
  std::vector<std::uint64_t> homes;
  if (regions) {
    std::ranges::transform(*regions, std::back_inserter(homes), RegionIdOf);
  }
  const auto chosen = ChooseTarget(node, table->second, terms, tried, homes);
  if (!chosen) {
    return std::nullopt;
  }
  const std::string& address = node.fleet.address_of.at(*chosen);
  return Destination{address, node.fleet.members.at(address).target};
}

/// Whether the home regions of route and account allow the destination; they
/// also restrict the owner of a key.
bool IsAllowed(const Node& node,
               const Route& route,
               const RequestTerms& terms,
               const Destination& destination) {
  const RoutedAccount* const account = AccountOf(node, terms);
  const auto found = node.fleet.members.find(destination.daemon);
  return !catalogue::AllowedRegions(route, account) ||
         (found != node.fleet.members.end() &&
          catalogue::MayServe(
              route, account,
              RegionOf(node.settings, found->second.data_centre)));
}

}  // namespace

std::optional<Destination> ChooseDestination(
    Node& node,
    const Route& route,
    const RequestTerms& terms,
    std::span<const base::DaemonId> tried) {
  auto chosen = terms.key ? OwnerOfKey(node, terms)
                          : ChooseMember(node, route, terms, tried);
  if (!chosen || !IsAllowed(node, route, terms, *chosen)) {
    return std::nullopt;
  }
  return chosen;
}

}  // namespace eelgrassbridge::node
