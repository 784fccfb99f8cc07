// Collects and formats problems.
#include "eelgrassbridge/base/problem.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace eelgrassbridge::base {

namespace {

int LineOfPath(const Problems& problems, std::string_view path) {
  while (true) {
    const auto found = problems.lines.find(path);
    if (found != problems.lines.end()) {
      return found->second;
    }
    const std::size_t separator = path.find_last_of(".[");
    if (separator == std::string_view::npos) {
      return 0;
    }
    path = path.substr(0, separator);
  }
}

}  // namespace

void AddProblem(Problems& problems,
                int line,
                std::string_view path,
                std::string message) {
  ++problems.count;
  if (problems.list.size() >= Problems::kMaxListed) {
    return;
  }
  if (line == 0) {
    line = LineOfPath(problems, path);
  }
  problems.list.push_back({line, std::string(path), std::move(message)});
}

std::string ToString(const Problems& problems) {
  std::vector<Problem> list = problems.list;
  std::ranges::stable_sort(list, {}, &Problem::line);
  std::string text;
  for (const Problem& problem : list) {
    if (!text.empty()) {
      text += '\n';
    }
    text += problems.file;
    if (problem.line != 0) {
      text += fmt::format(":{}", problem.line);
    }
    if (!problem.path.empty()) {
      text += fmt::format(": {}", problem.path);
    }
    text += fmt::format(": {}", problem.message);
  }
  if (problems.count > problems.list.size()) {
    text += fmt::format("\n{}: {} more problems", problems.file,
                        problems.count - problems.list.size());
  }
  return text;
}

}  // namespace eelgrassbridge::base
