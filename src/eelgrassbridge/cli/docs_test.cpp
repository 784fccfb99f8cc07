// Guards docs/operators and docs/OPERATIONS.md: the commands shown there that
// don't need a daemon give the output and exit code shown.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "eelgrassbridge/cli/run.hpp"
#include "source_path.hpp"

namespace eelgrassbridge::cli {

namespace {

constexpr std::string_view kPrompt = "$ eelgrassbridge ";

/// Returns the content of each code block that starts with the given fence.
std::vector<std::string> CodeBlocks(const std::string& file,
                                    std::string_view fence) {
  std::ifstream stream(file);
  std::vector<std::string> blocks;
  bool is_inside = false;
  for (std::string line; std::getline(stream, line);) {
    if (!is_inside && line == fence) {
      is_inside = true;
      blocks.emplace_back();
    } else if (line == "```") {
      is_inside = false;
    } else if (is_inside) {
      blocks.back() += line + "\n";
    }
  }
  return blocks;
}

/// Runs the command on the first line of a block and returns the correct block.
std::string Rerun(const std::string& block) {
  const std::string command = block.substr(0, block.find('\n'));
  REQUIRE(command.starts_with(kPrompt));
  std::istringstream words(command.substr(kPrompt.size()));
  std::vector<std::string> arguments;
  for (std::string word; words >> word;) {
    arguments.push_back(word);
  }
  std::ostringstream output;
  const ExitCode code = Run(arguments, output, output);
  return command + "\n" + output.str() + "exit code " +
         std::to_string(static_cast<int>(code)) + "\n";
}

}  // namespace

TEST_CASE("the commands in the operator documentation give the output shown") {
  std::filesystem::current_path(test::SourcePath());
  std::vector<std::string> pages = {"docs/OPERATIONS.md"};
  for (const auto& page :
       std::filesystem::directory_iterator("docs/operators")) {
    pages.push_back(page.path().string());
  }
  std::size_t count = 0;
  for (const std::string& page : pages) {
    for (const std::string& block : CodeBlocks(page, "```console run")) {
      CHECK(block == Rerun(block));
      ++count;
    }
  }
  CHECK(count >= 11);
}

}  // namespace eelgrassbridge::cli
