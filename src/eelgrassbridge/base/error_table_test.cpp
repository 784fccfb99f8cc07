// Guards the table from error kind to answer against missing rows and against
// a kind that would tell a caller something untrue.
#include "eelgrassbridge/base/error_table.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>

namespace eelgrassbridge::base {

TEST_CASE("each kind has its own row, name and a valid status") {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorInfo& answer = GetErrorInfo(static_cast<ErrorKind>(i));
    CHECK(static_cast<std::size_t>(answer.kind) == i);
    CHECK(names.insert(answer.name).second);
    CHECK(answer.http_status >= 400);
    CHECK(answer.http_status < 600);
    CHECK(answer.outcome != Outcome::kAnswered);
  }
}

TEST_CASE("kinds that follow a hand-over are never told as not run") {
  for (ErrorKind kind :
       {ErrorKind::kTargetLost, ErrorKind::kTargetTimeout, ErrorKind::kPeerLost,
        ErrorKind::kPeerTimeout, ErrorKind::kAnswerCut,
        ErrorKind::kIdFromOlderEpoch, ErrorKind::kDuplicateInProgress,
        ErrorKind::kInternal}) {
    CHECK(GetErrorInfo(kind).outcome == Outcome::kUnknown);
    CHECK(GetErrorInfo(kind).advice == RetryAdvice::kCheck);
  }
}

TEST_CASE("an unknown outcome is never combined with advice to retry freely") {
  for (const ErrorInfo& answer : ErrorTable()) {
    if (answer.outcome == Outcome::kUnknown) {
      CHECK(answer.advice == RetryAdvice::kCheck);
    }
  }
}

}  // namespace eelgrassbridge::base
