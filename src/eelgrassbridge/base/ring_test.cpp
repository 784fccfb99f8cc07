// Guards the ring against exceeding its capacity, reordering values and losing
// them without a count.
#include "eelgrassbridge/base/ring.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::base {

TEST_CASE("a push to a full ring fails and is counted, and the order is kept") {
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
