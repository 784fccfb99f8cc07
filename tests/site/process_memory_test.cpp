// Guards against a memory search that finds nothing because it reads nothing,
// or that misses occurrences across a chunk boundary.
#include "process_memory.hpp"

#include <doctest/doctest.h>
#include <unistd.h>

#include <csignal>

namespace eelgrassbridge::bench {

namespace {

/// Searches a forked copy of this process, which only waits, so that the search
/// does not find its own buffer.
MemorySearch SearchCopy(const std::vector<std::string>& needles) {
  Process copy{.pid = ::fork()};
  if (copy.pid == 0) {
    for (;;) {
      ::pause();
    }
  }
  MemorySearch search = SearchMemory(copy, needles);
  Stop(copy, SIGKILL);
  return search;
}

}  // namespace

TEST_CASE("a marker is found at any offset in a large block") {
  const std::vector<std::string> needles{"marker-in-memory", "absent-marker"};
  std::string block(64UL * 1024 * 1024, 'x');
  const auto before = SearchCopy(needles);
  REQUIRE(before.bytes > block.size());
  constexpr std::size_t kStep = 1024UL * 1024 - 7;
  std::uint64_t placed = 0;
  for (std::size_t at = 0; at + kStep < block.size(); at += kStep) {
    block.replace(at, needles[0].size(), needles[0]);
    ++placed;
  }
  const auto after = SearchCopy(needles);
  // The needles themselves are on the stack and the heap a few times.
  constexpr std::uint64_t kOwnCopies = 8;
  REQUIRE(placed > 2 * kOwnCopies);
  CHECK(before.occurrences[0] <= kOwnCopies);
  CHECK(after.occurrences[0] >= placed);
  CHECK(after.occurrences[0] <= placed + kOwnCopies);
  CHECK(after.occurrences[1] <= kOwnCopies);
  CHECK(CountOccurrences(block, needles[0]) == placed);
}

}  // namespace eelgrassbridge::bench
