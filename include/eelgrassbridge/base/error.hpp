// Error kinds, and the result type that carries an error.
//
// Every failure reported to a caller, an operator or another daemon has one of
// these kinds. The error table (error_table.hpp) defines the HTTP status, the
// outcome and the retry advice of each kind.
#ifndef EELGRASSBRIDGE_BASE_ERROR_HPP
#define EELGRASSBRIDGE_BASE_ERROR_HPP

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassbridge::base {

/// @brief Kind of a failure. The error table must have an entry for each, in
/// the same order.
enum class ErrorKind : std::uint8_t {
  kBadRequest,
  kBodyTooLarge,
  kUnknownService,
  kUnknownKind,
  kNoOwner,
  kNotOwner,
  kWrongRegion,
  kTooManyHops,
  kNoTarget,
  kOverloaded,
  kAccountLimit,
  kDeadlineBeforeRun,
  kDraining,
  kNotReady,
  kQuarantined,
  kIdRequired,
  kIdRecordFull,
  kIdFromOlderEpoch,
  kDuplicateInProgress,
  kTargetRefused,
  kTargetUnreachable,
  kPeerUnreachable,
  kTargetLost,
  kTargetTimeout,
  kPeerLost,
  kPeerTimeout,
  kAnswerCut,
  kCancelled,
  kUnauthorized,
  kForbidden,
  kVersionConflict,
  kUnsafeChange,
  kStoreUnavailable,
  kStoreResultUnknown,
  kStoreConflict,
  kNotFound,
  kSettingsInvalid,
  kCatalogueInvalid,
  kFrameInvalid,
  kSnapshotInvalid,
  kInternal,
};

inline constexpr std::size_t kErrorKindCount =
    static_cast<std::size_t>(ErrorKind::kInternal) + 1;

/// @brief An error kind with a human-readable message.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// @brief A value or an Error. Accessing the one that is absent terminates the
/// process.
template <typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

/// @brief Creates a failure, for functions that return a Result.
inline auto Fail(ErrorKind kind, std::string detail = {}) {
  return outcome::failure(Error{kind, std::move(detail)});
}

/// @brief Returns the stable name of a kind, e.g. "no_owner", as used in
/// messages and metrics.
std::string_view ErrorName(ErrorKind kind);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_ERROR_HPP
