// Tests of the encoding of rows between daemons.
#include "eelgrassbridge/node/row_relay.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::node {
namespace {

RowPage TwoRows() {
  RowPage page;
  page.state.version = 9;
  page.rows.push_back({{"op", "", "config"}, "{\"a\":1}\xff\x01", 7, false});
  page.rows.push_back({{"op", "", "out/a1"}, "", 9, true});
  return page;
}

TEST_CASE("decoding an encoded page gives the same rows") {
  // Guards against values that are changed on the way, also if they are not
  // valid text.
  const auto decoded = DecodeRowPage(EncodeRowPage(TwoRows()));
  REQUIRE(decoded);
  CHECK(decoded.value().state.version == 9);
  REQUIRE(decoded.value().rows.size() == 2);
  CHECK(decoded.value().rows[0].name == RowName{"op", "", "config"});
  CHECK(decoded.value().rows[0].value == "{\"a\":1}\xff\x01");
  CHECK(decoded.value().rows[0].version == 7);
  CHECK(decoded.value().rows[1].removed);
}

TEST_CASE("malformed pages are rejected") {
  const std::string page = EncodeRowPage(TwoRows());
  CHECK(!DecodeRowPage(""));
  CHECK(!DecodeRowPage("garbage"));
  CHECK(!DecodeRowPage(page.substr(0, page.size() - 1)));
}

}  // namespace
}  // namespace eelgrassbridge::node
