// Guards the text form of identifiers: no information is lost, and malformed
// text is rejected.
#include "eelgrassbridge/base/identifier.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::base {

TEST_CASE("group ids are unchanged by formatting and parsing") {
  const GroupId plain{"listing", "litoral+sur", 7, {}};
  const GroupId hot{"listing", "sur", 7, 0x0123456789abcdefULL};
  CHECK(ParseGroupId(ToString(plain)) == plain);
  CHECK(ParseGroupId(ToString(hot)) == hot);
}

TEST_CASE("malformed ids are rejected") {
  for (const char* text : {"", "a", "a/b", "a/b/c", "/b/1", "a//1", "a/b/1/xyz",
                           "a/b/1/2/3", "a/b/-1", "a/b/99999999999"}) {
    CHECK_FALSE(ParseGroupId(text).has_value());
  }
  CHECK_FALSE(ParseDaemonId("123").has_value());
  CHECK_FALSE(ParseDaemonId("zzzzzzzzzzzzzzzz").has_value());
}

TEST_CASE("generated ids differ") {
  CHECK(NewDaemonId() != NewDaemonId());
  CHECK(RandomHex128() != RandomHex128());
}

}  // namespace eelgrassbridge::base
