// Searches the memory of a process through /proc.
#include "process_memory.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace eelgrassbridge::bench {

namespace {

constexpr std::size_t kChunkBytes = 4UL * 1024 * 1024;
/// Larger mappings are address space reserved by a sanitizer (terabytes).
constexpr std::uint64_t kMaxMapBytes = 8ULL * 1024 * 1024 * 1024;

/// @brief Address range of a mapping; the end is exclusive.
struct MemoryMap {
  std::uint64_t begin = 0;
  std::uint64_t end = 0;
};

std::vector<MemoryMap> WritableMaps(const Process& process) {
  std::vector<MemoryMap> maps;
  std::ifstream lines("/proc/" + std::to_string(process.pid) + "/maps");
  for (std::string line; std::getline(lines, line);) {
    const auto dash = line.find('-');
    const auto space = line.find(' ');
    if (dash != std::string::npos && space != std::string::npos &&
        line.compare(space + 1, 2, "rw") == 0) {
      const MemoryMap map{
          std::stoull(line.substr(0, dash), nullptr, 16),
          std::stoull(line.substr(dash + 1, space - dash - 1), nullptr, 16)};
      if (map.end - map.begin <= kMaxMapBytes) {
        maps.push_back(map);
      }
    }
  }
  return maps;
}

// Reads the mapping in overlapping chunks, so that an occurrence across a chunk
// boundary is found, and counted once.
void SearchMap(int memory,
               const MemoryMap& map,
               std::span<const std::string> needles,
               MemorySearch& search) {
  std::size_t longest = 1;
  for (const auto& needle : needles) {
    longest = std::max(longest, needle.size());
  }
  std::string chunk(kChunkBytes, '\0');
  for (std::uint64_t at = map.begin; at < map.end;) {
    const std::size_t wanted =
        std::min<std::uint64_t>(kChunkBytes, map.end - at);
    const ssize_t size =
        ::pread(memory, chunk.data(), wanted, static_cast<off_t>(at));
    if (size <= 0) {
      return;
    }
    const std::string_view text(chunk.data(), static_cast<std::size_t>(size));
    const bool is_last = at + text.size() >= map.end;
    for (std::size_t index = 0; index < needles.size(); ++index) {
      const std::size_t excluded = longest - needles[index].size();
      const std::size_t searched =
          is_last ? text.size() : text.size() - std::min(text.size(), excluded);
      search.occurrences[index] +=
          CountOccurrences(text.substr(0, searched), needles[index]);
    }
    search.bytes += text.size();
    if (is_last || text.size() < longest) {
      return;
    }
    at += text.size() - (longest - 1);
  }
}

}  // namespace

std::uint64_t CountOccurrences(std::string_view text, std::string_view needle) {
  std::uint64_t count = 0;
  for (auto at = text.find(needle); at != std::string_view::npos;
       at = text.find(needle, at + needle.size())) {
    ++count;
  }
  return count;
}

MemorySearch SearchMemory(const Process& process,
                          std::span<const std::string> needles) {
  MemorySearch search;
  search.occurrences.resize(needles.size());
  const std::string name = "/proc/" + std::to_string(process.pid) + "/mem";
  const int memory = ::open(name.c_str(), O_RDONLY | O_CLOEXEC);
  if (memory < 0) {
    return search;
  }
  for (const MemoryMap& map : WritableMaps(process)) {
    SearchMap(memory, map, needles, search);
  }
  ::close(memory);
  return search;
}

}  // namespace eelgrassbridge::bench
