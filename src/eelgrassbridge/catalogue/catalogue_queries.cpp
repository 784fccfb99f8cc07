// Lookups in a catalogue and the mapping of keys to groups.
#include "eelgrassbridge/catalogue/catalogue_queries.hpp"

#include <algorithm>
#include <set>

#include "eelgrassbridge/base/hash.hpp"

namespace eelgrassbridge::catalogue {

namespace {

template <typename T>
const T* FindByName(const std::vector<T>& items, std::string_view name) {
  const auto found = std::ranges::find(items, name, &T::name);
  return found == items.end() ? nullptr : &*found;
}

bool IsOut(const Catalogue& catalogue,
           OutOfService::What what,
           std::string_view name) {
  return std::ranges::any_of(catalogue.out_of_service,
                             [&](const OutOfService& item) {
                               return item.what == what && item.name == name;
                             });
}

}  // namespace

const Service* FindService(const Catalogue& catalogue, std::string_view name) {
  return FindByName(catalogue.services, name);
}

const RequestKind* FindKind(const Service& service, std::string_view name) {
  return FindByName(service.kinds, name);
}

const ClientAccount* FindAccount(const Catalogue& catalogue,
                                 std::string_view name) {
  return FindByName(catalogue.accounts, name);
}

const std::vector<std::string>& HomeRegions(const Service& service,
                                            const ClientAccount* account) {
  if (account == nullptr || account->home_regions.empty()) {
    return service.regions;
  }
  return account->home_regions;
}

std::string ResidencyName(const std::vector<std::string>& regions) {
  std::string name;
  for (const std::string& region : regions) {
    if (!name.empty()) {
      name += '+';
    }
    name += region;
  }
  return name;
}

std::vector<std::string> ResidencyRegions(std::string_view residency) {
  std::vector<std::string> regions;
  while (!residency.empty()) {
    const std::size_t at = residency.find('+');
    regions.emplace_back(residency.substr(0, at));
    if (at == std::string_view::npos) {
      break;
    }
    residency.remove_prefix(at + 1);
  }
  return regions;
}

std::uint32_t GroupCount(const Service& service) {
  return std::max<std::uint32_t>(
      1, service.instances * service.groups_per_instance);
}

base::GroupId GroupOfKey(const Service& service,
                         std::string_view residency,
                         std::string_view key) {
  const auto index =
      static_cast<std::uint32_t>(base::Hash64(key) % GroupCount(service));
  return {service.name, std::string(residency), index, std::nullopt};
}

std::vector<base::GroupId> AllGroups(const Catalogue& catalogue) {
  std::vector<base::GroupId> groups;
  for (const Service& service : catalogue.services) {
    if (!service.divided_by_key) {
      continue;
    }
    std::set<std::string> residencies{ResidencyName(service.regions)};
    for (const ClientAccount& account : catalogue.accounts) {
      residencies.insert(ResidencyName(HomeRegions(service, &account)));
    }
    for (const std::string& residency : residencies) {
      for (std::uint32_t i = 0; i < GroupCount(service); ++i) {
        groups.push_back({service.name, residency, i, std::nullopt});
      }
    }
  }
  return groups;
}

bool IsDataCentreOut(const Catalogue& catalogue, std::string_view data_centre) {
  return IsOut(catalogue, OutOfService::What::kDataCentre, data_centre);
}

bool IsTargetOut(const Catalogue& catalogue, std::string_view daemon_name) {
  return IsOut(catalogue, OutOfService::What::kTarget, daemon_name);
}

}  // namespace eelgrassbridge::catalogue
