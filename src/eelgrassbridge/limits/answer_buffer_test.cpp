// The memory that answers take together.
#include "eelgrassbridge/limits/answer_buffer.hpp"

#include <doctest/doctest.h>

#include <initializer_list>

namespace eelgrassbridge::limits {
namespace {

/// Connections of callers and daemons that a daemon with 1024 descriptors
/// accepts, each with one open request.
constexpr std::size_t kMaxOpenRequests = 1024 / 3 + 1024 / 4;
/// A sixth of a VM of 160 MB.
constexpr std::size_t kMaxTotalBytes = std::size_t{27} << 20U;

TEST_CASE("answers without end on all connections fit a small VM") {
  // Guards against answers that are each within a bound and together are more
  // than the machine has.
  std::size_t held = 0;
  for (std::size_t open = 1; open <= kMaxOpenRequests; ++open) {
    held += MaxHeldAnswerBytes(open);
  }
  CHECK(held <= kMaxTotalBytes);
}

TEST_CASE("answers of an ordinary number of requests are read completely") {
  // Guards against short answers that cannot be replaced once truncated.
  const AnswerBufferOptions options;
  for (const std::size_t open :
       std::initializer_list<std::size_t>{0, 1, 9, 64}) {
    CHECK(MaxHeldAnswerBytes(open) == options.max_bytes);
  }
  CHECK(MaxHeldAnswerBytes(1000000) == options.min_bytes);
}

}  // namespace
}  // namespace eelgrassbridge::limits
