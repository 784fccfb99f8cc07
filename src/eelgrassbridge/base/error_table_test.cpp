// Guards the error table against missing or misplaced entries, and against
// kinds that report a request as not run although it may have been run.
#include "eelgrassbridge/base/error_table.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>

namespace eelgrassbridge::base {

TEST_CASE("each kind has its own entry, a unique name and a valid status") {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorInfo& info = GetErrorInfo(static_cast<ErrorKind>(i));
    CHECK(static_cast<std::size_t>(info.kind) == i);
    CHECK(names.insert(info.name).second);
    CHECK(info.http_status >= 400);
    CHECK(info.http_status < 600);
    CHECK(info.outcome != Outcome::kAnswered);
  }
}

TEST_CASE(
    "kinds that can occur after the request was sent have unknown outcome") {
  for (ErrorKind kind :
       {ErrorKind::kTargetLost, ErrorKind::kTargetTimeout, ErrorKind::kPeerLost,
        ErrorKind::kPeerTimeout, ErrorKind::kAnswerCut,
        ErrorKind::kIdFromOlderEpoch, ErrorKind::kDuplicateInProgress,
        ErrorKind::kInternal}) {
    CHECK(GetErrorInfo(kind).outcome == Outcome::kUnknown);
    CHECK(GetErrorInfo(kind).advice == RetryAdvice::kCheck);
  }
}

TEST_CASE("an unknown outcome always has the advice to check before a retry") {
  for (const ErrorInfo& info : ErrorTable()) {
    if (info.outcome == Outcome::kUnknown) {
      CHECK(info.advice == RetryAdvice::kCheck);
    }
  }
}

}  // namespace eelgrassbridge::base
