// Guards against keys that are mapped to a group outside the home regions of
// their account, and against groups that are missing from the full list.
#include "eelgrassbridge/catalogue/catalogue_queries.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace eelgrassbridge::catalogue {

namespace {

Catalogue TwoRegions() {
  Catalogue catalogue;
  Service listing;
  listing.name = "listing";
  listing.divided_by_key = true;
  listing.instances = 5;
  listing.regions = {"litoral", "sur"};
  catalogue.services = {listing};
  catalogue.accounts = {{"yard-7", {"sur"}, {}}, {"yard-8", {}, {}}};
  return catalogue;
}

}  // namespace

TEST_CASE("an account with home regions gets groups of its own residency") {
  const Catalogue catalogue = TwoRegions();
  const Service& listing = catalogue.services[0];
  const auto& bound = HomeRegions(listing, FindAccount(catalogue, "yard-7"));
  const auto& free = HomeRegions(listing, FindAccount(catalogue, "yard-8"));
  CHECK(ResidencyName(bound) == "sur");
  CHECK(ResidencyName(free) == "litoral+sur");
  CHECK(ResidencyRegions("litoral+sur") == listing.regions);
}

TEST_CASE("the list of all groups covers each residency in use") {
  const Catalogue catalogue = TwoRegions();
  const auto groups = AllGroups(catalogue);
  CHECK(groups.size() == 40);
  const auto group = GroupOfKey(catalogue.services[0], "sur", "pallet-1");
  CHECK(std::ranges::find(groups, group) != groups.end());
}

TEST_CASE("out-of-service marks are found by kind and name") {
  Catalogue catalogue = TwoRegions();
  catalogue.out_of_service = {
      {OutOfService::What::kDataCentre, "sur-cerro", false}};
  CHECK(IsDataCentreOut(catalogue, "sur-cerro"));
  CHECK_FALSE(IsTargetOut(catalogue, "sur-cerro"));
  CHECK_FALSE(IsDataCentreOut(catalogue, "sur-canelones"));
}

}  // namespace eelgrassbridge::catalogue
