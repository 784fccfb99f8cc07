// Defines the error table.
#include "eelgrassbridge/base/error_table.hpp"

#include <array>

namespace eelgrassbridge::base {

namespace {

using enum ErrorKind;
using enum Outcome;

constexpr std::array<ErrorInfo, kErrorKindCount> kTable{{
    {kBadRequest, "bad_request", 400, kNotRun, RetryAdvice::kNone,
     LogLevel::kNone},
    {kBodyTooLarge, "body_too_large", 413, kNotRun, RetryAdvice::kNone,
     LogLevel::kNone},
    {kUnknownService, "unknown_service", 404, kNotRun, RetryAdvice::kNone,
     LogLevel::kNone},
    {kUnknownKind, "unknown_kind", 404, kNotRun, RetryAdvice::kNone,
     LogLevel::kNone},
    {kNoOwner, "no_owner", 503, kNotRun, RetryAdvice::kSoon, LogLevel::kNone},
    {kNotOwner, "not_owner", 421, kNotRun, RetryAdvice::kElsewhere,
     LogLevel::kNone},
    {kWrongRegion, "wrong_region", 421, kNotRun, RetryAdvice::kElsewhere,
     LogLevel::kNone},
    {kTooManyHops, "too_many_hops", 503, kNotRun, RetryAdvice::kSoon,
     LogLevel::kNone},
    {kNoTarget, "no_target", 503, kNotRun, RetryAdvice::kSoon, LogLevel::kNone},
    {kOverloaded, "overloaded", 503, kNotRun, RetryAdvice::kSoon,
     LogLevel::kNone},
    {kAccountLimit, "account_limit", 429, kNotRun, RetryAdvice::kSoon,
     LogLevel::kNone},
    {kDeadlineBeforeRun, "deadline_before_run", 503, kNotRun,
     RetryAdvice::kSoon, LogLevel::kNone},
    {kDraining, "draining", 503, kNotRun, RetryAdvice::kSoon, LogLevel::kNone},
    {kNotReady, "not_ready", 503, kNotRun, RetryAdvice::kSoon, LogLevel::kNone},
    {kQuarantined, "quarantined", 422, kNotRun, RetryAdvice::kNone,
     LogLevel::kNone},
    {kIdRequired, "id_required", 428, kNotRun, RetryAdvice::kSoon,
     LogLevel::kNone},
    {kIdRecordFull, "id_record_full", 503, kNotRun, RetryAdvice::kSoon,
     LogLevel::kNone},
    {kIdFromOlderEpoch, "id_from_older_epoch", 409, kUnknown,
     RetryAdvice::kCheck, LogLevel::kNone},
    {kDuplicateInProgress, "duplicate_in_progress", 409, kUnknown,
     RetryAdvice::kCheck, LogLevel::kNone},
    {kTargetRefused, "target_refused", 503, kNotRun, RetryAdvice::kSoon,
     LogLevel::kNone},
    {kTargetUnreachable, "target_unreachable", 503, kNotRun, RetryAdvice::kSoon,
     LogLevel::kNone},
    {kPeerUnreachable, "peer_unreachable", 503, kNotRun, RetryAdvice::kSoon,
     LogLevel::kNone},
    {kTargetLost, "target_lost", 502, kUnknown, RetryAdvice::kCheck,
     LogLevel::kNone},
    {kTargetTimeout, "target_timeout", 504, kUnknown, RetryAdvice::kCheck,
     LogLevel::kNone},
    {kPeerLost, "peer_lost", 502, kUnknown, RetryAdvice::kCheck,
     LogLevel::kNone},
    {kPeerTimeout, "peer_timeout", 504, kUnknown, RetryAdvice::kCheck,
     LogLevel::kNone},
    {kAnswerCut, "answer_cut", 502, kUnknown, RetryAdvice::kCheck,
     LogLevel::kNone},
    {kCancelled, "cancelled", 504, kUnknown, RetryAdvice::kCheck,
     LogLevel::kNone},
    {kUnauthorized, "unauthorized", 401, kNotRun, RetryAdvice::kNone,
     LogLevel::kWarning},
    {kForbidden, "forbidden", 403, kNotRun, RetryAdvice::kNone,
     LogLevel::kWarning},
    {kVersionConflict, "version_conflict", 409, kNotRun, RetryAdvice::kNone,
     LogLevel::kNone},
    {kUnsafeChange, "unsafe_change", 409, kNotRun, RetryAdvice::kNone,
     LogLevel::kNone},
    {kStoreUnavailable, "store_unavailable", 503, kNotRun, RetryAdvice::kSoon,
     LogLevel::kWarning},
    {kStoreResultUnknown, "store_result_unknown", 504, kUnknown,
     RetryAdvice::kCheck, LogLevel::kWarning},
    {kStoreConflict, "store_conflict", 409, kNotRun, RetryAdvice::kNone,
     LogLevel::kNone},
    {kNotFound, "not_found", 404, kNotRun, RetryAdvice::kNone, LogLevel::kNone},
    {kSettingsInvalid, "settings_invalid", 400, kNotRun, RetryAdvice::kNone,
     LogLevel::kError},
    {kCatalogueInvalid, "catalogue_invalid", 400, kNotRun, RetryAdvice::kNone,
     LogLevel::kNone},
    {kFrameInvalid, "frame_invalid", 400, kNotRun, RetryAdvice::kNone,
     LogLevel::kNone},
    {kSnapshotInvalid, "snapshot_invalid", 500, kNotRun, RetryAdvice::kNone,
     LogLevel::kWarning},
    {kInternal, "internal", 500, kUnknown, RetryAdvice::kCheck,
     LogLevel::kError},
}};

}  // namespace

std::span<const ErrorInfo> ErrorTable() {
  return kTable;
}

const ErrorInfo& GetErrorInfo(ErrorKind kind) {
  return kTable[static_cast<std::size_t>(kind)];
}

std::string_view ErrorName(ErrorKind kind) {
  return GetErrorInfo(kind).name;
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

std::string_view AdviceName(RetryAdvice advice) {
  switch (advice) {
    case RetryAdvice::kNone:
      return "none";
    case RetryAdvice::kSoon:
      return "retry-soon";
    case RetryAdvice::kElsewhere:
      return "retry-elsewhere";
    case RetryAdvice::kCheck:
      break;
  }
  return "check-first";
}

}  // namespace eelgrassbridge::base
