// Exit codes of all commands; see docs/operators/exit-codes.md.
#ifndef EELGRASSBRIDGE_CLI_EXIT_CODE_HPP
#define EELGRASSBRIDGE_CLI_EXIT_CODE_HPP

#include "eelgrassbridge/base/error.hpp"

namespace eelgrassbridge::cli {

enum class ExitCode : int {
  kSuccess = 0,
  kInvalid = 1,      ///< A file or value is invalid; nothing was changed.
  kUsage = 2,        ///< Unknown command or option.
  kRefused = 3,      ///< The token is unknown, expired or lacks a scope.
  kConflict = 4,     ///< A conflicting change was made; this one was not.
  kUnknown = 5,      ///< The change may or may not have been made.
  kUnavailable = 6,  ///< No answer from the daemon, or it has no store.
  kWaitTimeout = 7,  ///< --wait timed out before all daemons had the change.
  kUnsafe = 8,       ///< The change would interrupt service and was not made.
  kFailed = 9,       ///< Any other failure, e.g. a daemon that cannot start.
};

ExitCode ExitCodeFor(base::ErrorKind kind);

}  // namespace eelgrassbridge::cli

#endif  // EELGRASSBRIDGE_CLI_EXIT_CODE_HPP
