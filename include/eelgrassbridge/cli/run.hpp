// Entry point of the command line.
#ifndef EELGRASSBRIDGE_CLI_RUN_HPP
#define EELGRASSBRIDGE_CLI_RUN_HPP

#include <iosfwd>
#include <string>
#include <vector>

#include "eelgrassbridge/cli/exit_code.hpp"

namespace eelgrassbridge::cli {

inline constexpr const char* kVersion = "0.1.0";

/// @brief Runs the command given by the arguments (without the program name).
ExitCode Run(const std::vector<std::string>& arguments,
             std::ostream& out,
             std::ostream& err);

}  // namespace eelgrassbridge::cli

#endif  // EELGRASSBRIDGE_CLI_RUN_HPP
