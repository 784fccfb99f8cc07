// Problems found in an input file: collected, and reported all at once.
#ifndef EELGRASSBRIDGE_BASE_PROBLEM_HPP
#define EELGRASSBRIDGE_BASE_PROBLEM_HPP

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbridge::base {

/// @brief One problem.
struct Problem {
  /// Zero: not tied to a line.
  int line = 0;
  /// Place in the document, e.g. "services[1].kinds[0].deadline".
  std::string path;
  /// What is wrong and what is accepted.
  std::string message;
};

/// @brief Problems of one file.
struct Problems {
  /// Further problems are only counted, so that a bad file of a megabyte does
  /// not give a report of many megabytes.
  static constexpr std::size_t kMaxListed = 100;

  std::string file;
  std::vector<Problem> list;
  std::size_t count = 0;
  /// Line of each value that was read, for checks made after reading.
  std::map<std::string, int, std::less<>> lines;
};

/// @brief Adds a problem; a line of 0 is looked up by the path or, where the
/// path has no line, by the nearest enclosing path.
void AddProblem(Problems& problems,
                int line,
                std::string_view path,
                std::string message);

/// @brief "file:line: path: message" for each problem, one a line, in the
/// order of the lines.
std::string ToString(const Problems& problems);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_PROBLEM_HPP
