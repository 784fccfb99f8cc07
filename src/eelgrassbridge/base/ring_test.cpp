// Guards the bounded ring against growing, reordering and silent loss.
#include "eelgrassbridge/base/ring.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::base {

TEST_CASE("a full ring refuses and counts, and keeps the order") {
  Ring<int> ring(2);
  CHECK(ring.Push(1));
  CHECK(ring.Push(2));
  CHECK_FALSE(ring.Push(3));
  CHECK(ring.failed_pushes == 1);
  CHECK(ring.Pop() == 1);
  CHECK(ring.Pop() == 2);
  CHECK_FALSE(ring.Pop().has_value());
}

}  // namespace eelgrassbridge::base
