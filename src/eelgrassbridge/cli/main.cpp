// Program entry point.
#include <exception>
#include <iostream>

#include "eelgrassbridge/cli/run.hpp"

int main(int argc, char** argv) {
  using eelgrassbridge::cli::ExitCode;
  try {
    return static_cast<int>(eelgrassbridge::cli::Run({argv + 1, argv + argc},
                                                     std::cout, std::cerr));
  } catch (const std::exception& error) {
    std::cerr << "internal error: " << error.what() << "\n";
    return static_cast<int>(ExitCode::kFailed);
  }
}
