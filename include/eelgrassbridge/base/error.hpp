// The closed list of error kinds and the result type that carries them.
//
// Every failure that the product reports, to a caller, an operator or another
// daemon, is one of these kinds. The error table (error_table.hpp) maps each
// kind to what is told to the caller.
#ifndef EELGRASSBRIDGE_BASE_ERROR_HPP
#define EELGRASSBRIDGE_BASE_ERROR_HPP

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassbridge::base {

/// @brief Everything that can go wrong, as one closed list.
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

/// @brief Number of error kinds; the answer table has one row for each.
inline constexpr std::size_t kErrorKindCount =
    static_cast<std::size_t>(ErrorKind::kInternal) + 1;

/// @brief An error kind with a sentence for people.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// @brief A value or an Error. Access to the wrong side terminates.
template <typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

/// @brief Makes a failure to return from a function with a Result.
inline auto Fail(ErrorKind kind, std::string detail = {}) {
  return outcome::failure(Error{kind, std::move(detail)});
}

/// @brief The stable name of a kind, e.g. "no_owner".
std::string_view ErrorName(ErrorKind kind);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_ERROR_HPP
