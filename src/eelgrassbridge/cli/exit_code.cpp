// Maps error kinds to exit codes.
#include "eelgrassbridge/cli/exit_code.hpp"

namespace eelgrassbridge::cli {

ExitCode ExitCodeFor(base::ErrorKind kind) {
  using base::ErrorKind;
  switch (kind) {
    case ErrorKind::kBadRequest:
    case ErrorKind::kBodyTooLarge:
    case ErrorKind::kNotFound:
    case ErrorKind::kSettingsInvalid:
    case ErrorKind::kCatalogueInvalid:
      return ExitCode::kInvalid;
    case ErrorKind::kUnauthorized:
    case ErrorKind::kForbidden:
      return ExitCode::kRefused;
    case ErrorKind::kVersionConflict:
    case ErrorKind::kStoreConflict:
      return ExitCode::kConflict;
    case ErrorKind::kStoreResultUnknown:
      return ExitCode::kUnknown;
    case ErrorKind::kStoreUnavailable:
    case ErrorKind::kPeerUnreachable:
    case ErrorKind::kPeerLost:
    case ErrorKind::kPeerTimeout:
    case ErrorKind::kNotReady:
    case ErrorKind::kOverloaded:
    case ErrorKind::kDraining:
      return ExitCode::kUnavailable;
    case ErrorKind::kUnsafeChange:
      return ExitCode::kUnsafe;
    default:
      return ExitCode::kFailed;
  }
}

}  // namespace eelgrassbridge::cli
