// Entry point shared by all test programs.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "source_path.hpp"

namespace eelgrassbridge::test {

std::string SourcePath(std::string_view relative) {
  return EELGRASSBRIDGE_SOURCE_DIR "/" + std::string(relative);
}

}  // namespace eelgrassbridge::test
