// Searches the memory of a process that the site launcher started.
#ifndef EELGRASSBRIDGE_BENCH_SITE_PROCESS_MEMORY_HPP
#define EELGRASSBRIDGE_BENCH_SITE_PROCESS_MEMORY_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "process.hpp"

namespace eelgrassbridge::bench {

/// @brief Returns the number of non-overlapping occurrences of the needle.
std::uint64_t CountOccurrences(std::string_view text, std::string_view needle);

struct MemorySearch {
  /// In the order of the needles.
  std::vector<std::uint64_t> occurrences;
  /// Bytes searched; 0: the memory could not be opened.
  std::uint64_t bytes = 0;
};

/// @brief Searches all readable and writable memory mappings of the process.
MemorySearch SearchMemory(const Process& process,
                          std::span<const std::string> needles);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_PROCESS_MEMORY_HPP
