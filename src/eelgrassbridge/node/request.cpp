// Encoding of request terms, evidence for not-run proofs, and constructors of
// results.
#include "eelgrassbridge/node/request.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>

namespace eelgrassbridge::node {

namespace {

constexpr int kMisdirectedRequest = 421;
constexpr std::array<std::string_view, 4> kClassNames = {
    "idempotent", "non_idempotent", "upload", "download"};
constexpr std::size_t kTermsFieldCount = 5;

std::optional<catalogue::RequestClass> ParseClass(std::string_view name) {
  const auto found = std::ranges::find(kClassNames, name);
  if (found == kClassNames.end()) {
    return std::nullopt;
  }
  return static_cast<catalogue::RequestClass>(found - kClassNames.begin());
}

/// Returns a number up to `last`; none if the text is another one.
std::optional<std::uint64_t> NumberUpTo(std::string_view text,
                                        std::uint64_t last) {
  const auto number = http::ParseNumber(text);
  return number && *number <= last ? number : std::nullopt;
}

std::array<std::string_view, kTermsFieldCount> SplitTerms(
    std::string_view text) {
  std::array<std::string_view, kTermsFieldCount> fields;
  for (std::string_view& field : fields) {
    const auto end = text.find(';');
    field = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{}
                                         : text.substr(end + 1);
  }
  return fields;
}

}  // namespace

void Cancel(Cancellation& cancellation, base::ErrorKind cause) {
  if (cancellation.cause) {
    return;
  }
  cancellation.cause = cause;
  if (cancellation.abort) {
    cancellation.abort();
  }
}

std::optional<NotRunProof> NotRunProof::FromTarget(
    const http::ResponseHead& response,
    const HeaderNames& names) {
  const bool not_run = response.status == kMisdirectedRequest ||
                       http::Find(response.headers, names.not_run) != nullptr;
  return not_run ? std::optional(NotRunProof{}) : std::nullopt;
}

std::optional<NotRunProof> NotRunProof::FromDaemon(
    const http::ResponseHead& response) {
  const bool not_run = http::HeaderValue(response.headers, kOutcomeHeader) ==
                       base::OutcomeName(base::Outcome::kNotRun);
  return not_run ? std::optional(NotRunProof{}) : std::nullopt;
}

RunResult NotRunResult(base::ErrorKind cause, NotRunProof proof) {
  RunResult result;
  result.outcome = base::Outcome::kNotRun;
  result.cause = cause;
  result.proof = proof;
  return result;
}

RunResult UnknownResult(base::ErrorKind cause) {
  RunResult result;
  result.outcome = base::Outcome::kUnknown;
  result.cause = cause;
  result.reached_target = true;
  return result;
}

void RemoveInternalHeaders(http::Headers& headers) {
  std::erase_if(headers, [](const http::Header& header) {
    return header.name.size() >= kInternalHeaderPrefix.size() &&
           http::EqualsIgnoreCase(std::string_view(header.name)
                                      .substr(0, kInternalHeaderPrefix.size()),
                                  kInternalHeaderPrefix);
  });
}

std::string EncodeTerms(const RequestTerms& terms) {
  const auto objective =
      std::chrono::duration_cast<base::milliseconds>(terms.objective).count();
  const auto wait =
      std::chrono::duration_cast<base::milliseconds>(terms.max_wait).count();
  return fmt::format("{};{};{};{};{}",
                     kClassNames[static_cast<std::size_t>(terms.request_class)],
                     terms.priority, objective, wait,
                     terms.key ? fmt::format("{}", *terms.key) : "");
}

base::Result<void> DecodeTerms(std::string_view text, RequestTerms& terms) {
  const auto fields = SplitTerms(text);
  const auto request_class = ParseClass(fields[0]);
  const auto priority = NumberUpTo(fields[1], UINT32_MAX);
  const auto objective = NumberUpTo(fields[2], INT32_MAX);
  const auto wait = NumberUpTo(fields[3], INT32_MAX);
  const auto key = NumberUpTo(fields[4], ranges::kLastKey);
  if (!request_class || !priority || !objective || !wait ||
      (!key && !fields[4].empty())) {
    return base::Fail(base::ErrorKind::kBadRequest, "invalid request terms");
  }
  terms.request_class = *request_class;
  terms.priority = static_cast<std::uint32_t>(*priority);
  terms.objective = base::milliseconds{*objective};
  terms.max_wait = base::milliseconds{*wait};
  terms.key.reset();
  if (key) {
    terms.key = static_cast<std::uint32_t>(*key);
  }
  return base::outcome::success();
}

base::Duration MaxSlotWait(base::Duration objective,
                           base::Duration time_limit) {
  return std::max(
      ScaleDuration(objective, kMaxWaitShare),
      std::min(kMaxWaitFloor, ScaleDuration(time_limit, kMaxWaitShare)));
}

base::Duration ScaleDuration(base::Duration time, double factor) {
  return base::Duration{
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
}

std::int64_t MillisecondsLeft(base::TimePoint deadline, base::TimePoint now) {
  const auto left =
      std::chrono::duration_cast<base::milliseconds>(deadline - now).count();
  return std::max<std::int64_t>(0, left);
}

}  // namespace eelgrassbridge::node
