// Collects the problems of an input file, so that all are reported at once.
#ifndef EELGRASSBRIDGE_BASE_PROBLEM_HPP
#define EELGRASSBRIDGE_BASE_PROBLEM_HPP

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbridge::base {

struct Problem {
  /// Line in the file, counted from 1; zero if the problem has none.
  int line = 0;
  /// Path of the value in the document, e.g. "services[1].kinds[0].deadline".
  std::string path;
  /// What is wrong and what is expected.
  std::string message;
};

/// @brief Problems of one file.
struct Problems {
  /// Further problems are only counted, so that an invalid file of a megabyte
  /// doesn't cause a report of many megabytes.
  static constexpr std::size_t kMaxListed = 100;

  std::string file;
  std::vector<Problem> list;
  /// Includes the problems that are not in `list`.
  std::size_t count = 0;
  /// Line of each value by its path, for checks that run after parsing.
  std::map<std::string, int, std::less<>> lines;
};

/// @brief Adds a problem. If `line` is 0, it is looked up in `lines` by the
/// path or the closest enclosing path that has a line.
void AddProblem(Problems& problems,
                int line,
                std::string_view path,
                std::string message);

/// @brief Formats the problems as "file:line: path: message", one per line and
/// sorted by line.
std::string ToString(const Problems& problems);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_PROBLEM_HPP
