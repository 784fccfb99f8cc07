// Guards against invalid catalogues that are accepted, problems that are not
// reported, and changes that would leave requests unserved or give a key two
// owners.
#include "eelgrassbridge/catalogue/read_catalogue.hpp"

#include <doctest/doctest.h>

#include "eelgrassbridge/catalogue/catalogue_json.hpp"
#include "eelgrassbridge/catalogue/diff.hpp"
#include "eelgrassbridge/catalogue/write_catalogue.hpp"
#include "source_path.hpp"

namespace eelgrassbridge::catalogue {

namespace {

Catalogue ReadExample(const char* site) {
  const auto read = ReadCatalogueFile(test::SourcePath("examples/") + site +
                                      "/catalogue.yaml");
  REQUIRE_MESSAGE(read.has_value(), read.error().detail);
  return read.value();
}

std::string ErrorOf(std::string_view yaml) {
  const auto read = ReadCatalogue(yaml, "c.yaml");
  REQUIRE_FALSE(read.has_value());
  CHECK(read.error().kind == base::ErrorKind::kCatalogueInvalid);
  return read.error().detail;
}

bool Has(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("both example catalogues survive a JSON round trip") {
  for (const char* site : {"astillas", "hanbit"}) {
    Catalogue catalogue = ReadExample(site);
    CHECK(catalogue.data_centres.size() == 4);
    catalogue.version = 7;
    catalogue.changed_by = "ana \"quoted\" \xE6\x97\xA5";
    catalogue.out_of_service = {
        {OutOfService::What::kTarget, "booking-1", true}};
    const auto back = ReadCatalogueJson(WriteCatalogueJson(catalogue));
    REQUIRE_MESSAGE(back.has_value(), back.error().detail);
    CHECK(back.value() == catalogue);
  }
}

TEST_CASE("all problems of single fields are reported together") {
  const std::string error = ErrorOf(R"(site: x
data_centres: [{name: a, region: r}]
services:
  - name: s/1
    owner: o
    regions: [r]
    priority: urgent
    run_limit: 5
    kinds:
      - {name: k, worth: -1, objective: {availability: 99.9}}
      - {name: l, deadline: 2h, limits: {max_body_bytes: 1MB}}
out_of_service: []
)");
  for (const std::string_view part :
       {"c.yaml:4: services[0].name: 's/1'",
        "c.yaml:7: services[0].priority: 'urgent' is invalid",
        "c.yaml:8: services[0].run_limit: '5'",
        "c.yaml:10: services[0].kinds[0].worth: '-1'",
        "c.yaml:10: services[0].kinds[0].objective.availability: '99.9'",
        "c.yaml:11: services[0].kinds[1].deadline: '2h'",
        "c.yaml:11: services[0].kinds[1].limits.max_body_bytes: '1MB'",
        "c.yaml:12: unknown field 'out_of_service'"}) {
    CHECK_MESSAGE(Has(error, part), part << " not in\n" << error);
  }
}

TEST_CASE("all problems between entries are reported together") {
  const std::string error = ErrorOf(R"(site: x
data_centres: [{name: a, region: r}, {name: a, region: r}]
services:
  - {name: s, owner: o, regions: [r, q], kinds: [{name: k}, {name: k}]}
  - {name: t, owner: o, regions: [], kinds: []}
accounts:
  - {name: u, home_regions: [q]}
)");
  for (const std::string_view part :
       {"c.yaml:2: data_centres[1].name: the name 'a' is given twice",
        "c.yaml:4: services[0].regions[0]: no data centre is in region 'q'",
        "c.yaml:4: services[0].kinds[1].name: the name 'k' is given twice",
        "c.yaml:5: services[1].regions: expected a list of at least one",
        "c.yaml:5: services[1].kinds: expected a list of at least one",
        "c.yaml:7: accounts[0].home_regions[0]: no data centre"}) {
    CHECK_MESSAGE(Has(error, part), part << " not in\n" << error);
  }
}

TEST_CASE("malicious JSON is rejected") {
  const std::string good = WriteCatalogueJson(ReadExample("hanbit"));
  const auto with = [&](std::string_view from, std::string_view to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return ReadCatalogueJson(text).has_value();
  };
  CHECK(ReadCatalogueJson(good).has_value());
  CHECK_FALSE(with("\"instances\":6", "\"instances\":-6"));
  CHECK_FALSE(with("\"instances\":6", "\"instances\":4294967302"));
  CHECK_FALSE(with("\"instances\":6", "\"instances\":6.5"));
  CHECK_FALSE(with("\"critical\"", "\"urgent\""));
  CHECK_FALSE(with("\"busan-a\"", "\"busan/a\""));
  CHECK_FALSE(with("\"sudogwon\"", "\"nowhere\""));
  CHECK_FALSE(ReadCatalogueJson(std::string(1'000'000, '[')).has_value());
  CHECK_FALSE(ReadCatalogueJson("null").has_value());
  CHECK_FALSE(ReadCatalogueJson("{}").has_value());
}

TEST_CASE("the diff names each change") {
  const Catalogue before = ReadExample("astillas");
  Catalogue after = before;
  CHECK(Diff(before, after).empty());
  after.accounts[0].home_regions = {"litoral"};
  after.services[1].kinds.clear();
  after.services[0].limits.in_flight = 9;
  after.out_of_service = {{OutOfService::What::kDataCentre, "sur-cerro", true}};
  std::string text;
  for (const Change& change : Diff(before, after)) {
    text += ToString(change) + "\n";
  }
  CHECK(text ==
        "~ service listing limits: 0/s, 0 in flight, 65536 B -> 0/s, 9 in "
        "flight, 65536 B\n"
        "- kind booking/book\n"
        "~ account carpinteria-rosello home_regions: sur -> litoral\n"
        "+ out-of-service data-centre sur-cerro\n");
}

TEST_CASE("a change that leaves keys without a home region is unsafe") {
  const Catalogue before = ReadExample("astillas");
  Catalogue one = before;
  one.out_of_service = {{OutOfService::What::kDataCentre, "sur-cerro", false}};
  CHECK(UnsafeReasons(before, one).empty());
  Catalogue both = one;
  both.out_of_service.push_back(
      {OutOfService::What::kDataCentre, "sur-canelones", false});
  const auto reasons = UnsafeReasons(one, both);
  REQUIRE(reasons.size() == 1);
  CHECK(Has(reasons[0], "keys of account carpinteria-rosello"));
  // A condition caused by an earlier, confirmed change must not block later
  // changes.
  Catalogue later = both;
  later.reason = "other";
  CHECK(UnsafeReasons(both, later).empty());
  Catalogue narrow = both;
  narrow.services[0].regions = {"sur"};
  CHECK(Has(UnsafeReasons(both, narrow)[0], "service listing"));
}

// Guards against a fault found by fuzzing: the JSON form replaced invalid
// bytes, so the daemons received a catalogue that differed from the accepted
// one.
TEST_CASE("text that is not UTF-8 is rejected") {
  std::string text = WriteCatalogueYaml(ReadExample("astillas"));
  const std::size_t at = text.find("listings team");
  REQUIRE(at != std::string::npos);
  CHECK(ReadCatalogue(text, "c.yaml").has_value());
  text[at] = '\x9b';
  const auto read = ReadCatalogue(text, "c.yaml");
  REQUIRE_FALSE(read.has_value());
  CHECK(Has(read.error().detail, "services[0].owner: expected text in UTF-8"));
}

TEST_CASE("a change that would give a key two owners is forbidden") {
  const Catalogue before = ReadExample("astillas");
  Catalogue grown = before;
  grown.services[0].instances = 2 * before.services[0].instances;
  REQUIRE(ForbiddenReasons(before, grown).size() == 1);
  CHECK(Has(ForbiddenReasons(before, grown)[0], "from 20 to 40"));
  grown.services[0].groups_per_instance = 2;
  CHECK(ForbiddenReasons(before, grown).empty());
  Catalogue undivided = before;
  undivided.services[0].divided_by_key = false;
  CHECK(ForbiddenReasons(before, undivided).size() == 1);
  Catalogue booking = before;
  booking.services[1].instances = 40;
  CHECK(ForbiddenReasons(before, booking).empty());
}

}  // namespace eelgrassbridge::catalogue
