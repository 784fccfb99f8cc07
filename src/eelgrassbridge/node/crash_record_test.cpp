// Guards against rows of other writers that end the process or change the
// verdict on a request.
#include "eelgrassbridge/node/crash_record.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::node {
namespace {

TEST_CASE("crash records survive their encoding") {
  const std::vector<CrashRecord> crashes = {
      {{UINT64_MAX, 1}, {UINT64_MAX, base::Duration{5}, base::Duration{6}}},
      {{2, 3}, {4, base::Duration{0}, base::Duration{7}}, true}};
  const auto decoded = DecodeCrashes(EncodeCrashes(crashes));
  REQUIRE(decoded);
  CHECK((decoded.value() == crashes));
}

TEST_CASE("spoiled crash records are rejected") {
  for (const char* text :
       {"", "{}", "[1]", R"([{"high":1,"low":2}])",
        R"([{"high":-1,"low":2,"target_run":3,"began_us":4,"crashed_us":5,)"
        R"("answered":false}])",
        R"([{"high":1,"low":2,"target_run":3,"began_us":4,"crashed_us":5,)"
        R"("answered":1}])",
        R"([{"high":1,"low":2,"target_run":3,"began_us":4,)"
        R"("crashed_us":18446744073709551615,"answered":false}])"}) {
    CHECK(!DecodeCrashes(text));
  }
}

}  // namespace
}  // namespace eelgrassbridge::node
