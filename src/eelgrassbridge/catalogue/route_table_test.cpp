// Guards against requests that go to the wrong route, the wrong share of a
// split, or a region outside the home regions.
#include "eelgrassbridge/catalogue/route_table.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::catalogue {
namespace {

Route MakeRoute(std::string name, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::string{"h"};
  route.prefix = std::move(prefix);
  route.services = {{"s", 1}};
  return route;
}

TEST_CASE("the longest prefix wins, whatever the order of the routes") {
  RouteTable table;
  AddRoute(table, MakeRoute("short", "/a/"));
  AddRoute(table, MakeRoute("long", "/a/b/"));
  AddRoute(table, MakeRoute("other", "/c/"));
  CHECK(FindRoute(table, "h", "/a/b/x")->name == "long");
  CHECK(FindRoute(table, "h", "/a/bx")->name == "short");
  CHECK(FindRoute(table, "h", "/d/") == nullptr);
  CHECK(FindRoute(table, "other", "/a/") == nullptr);
}

TEST_CASE("a split gives each service its weight") {
  Route route = MakeRoute("r", "/");
  route.services = {{"a", 90}, {"b", 10}};
  int second = 0;
  for (std::uint64_t random = 0; random < 1000; ++random) {
    second += PickService(route, random) == "b" ? 1 : 0;
  }
  CHECK(second == 100);
}

TEST_CASE("only home regions may serve a route, or all if it has none") {
  Route route = MakeRoute("r", "/");
  CHECK(MayServe(route, "sur"));
  route.home_regions = {"litoral"};
  CHECK(!MayServe(route, "sur"));
  CHECK(MayServe(route, "litoral"));
}

}  // namespace
}  // namespace eelgrassbridge::catalogue
