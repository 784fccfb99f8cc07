// Guards identifiers against losing information on their way through text.
#include "eelgrassbridge/base/identifier.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::base {

TEST_CASE("group identifiers survive printing and reading") {
  const GroupId plain{"listing", "litoral+sur", 7, {}};
  const GroupId hot{"listing", "sur", 7, 0x0123456789abcdefULL};
  CHECK(ParseGroupId(ToString(plain)) == plain);
  CHECK(ParseGroupId(ToString(hot)) == hot);
}

TEST_CASE("malformed identifiers are refused") {
  for (const char* text : {"", "a", "a/b", "a/b/c", "/b/1", "a//1", "a/b/1/xyz",
                           "a/b/1/2/3", "a/b/-1", "a/b/99999999999"}) {
    CHECK_FALSE(ParseGroupId(text).has_value());
  }
  CHECK_FALSE(ParseDaemonId("123").has_value());
  CHECK_FALSE(ParseDaemonId("zzzzzzzzzzzzzzzz").has_value());
}

TEST_CASE("each start draws a different identifier") {
  CHECK(NewDaemonId() != NewDaemonId());
  CHECK(RandomHex128() != RandomHex128());
}

}  // namespace eelgrassbridge::base
