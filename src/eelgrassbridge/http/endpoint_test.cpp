// Tests of the parsing of addresses.
#include "eelgrassbridge/http/endpoint.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::http {
namespace {

TEST_CASE("only an IP address with a valid port is parsed as an endpoint") {
  CHECK(ParseEndpoint("10.0.0.1:80").has_value());
  CHECK(!ParseEndpoint("10.0.0.1").has_value());
  CHECK(!ParseEndpoint("10.0.0.1:0").has_value());
  CHECK(!ParseEndpoint("host:80").has_value());
  CHECK(!ParseEndpoint("10.0.0.1:70000").has_value());
}

}  // namespace
}  // namespace eelgrassbridge::http
