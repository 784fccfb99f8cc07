// Parses the Eelgrassbridge-* request headers and builds error answers.
#include "eelgrassbridge/daemon/caller_request.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "eelgrassbridge/routing/request_plan.hpp"

namespace eelgrassbridge::daemon {

namespace {

constexpr std::size_t kMaxKeyBytes = 1024;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::string_view kPathPrefix = "/s/";
/// One day; a longer deadline is assumed to be an error of the caller.
constexpr std::uint32_t kMaxDeadlineMs = 86'400'000;

base::Result<std::optional<std::uint32_t>> ReadNumber(
    const std::vector<Header>& headers,
    std::string_view name,
    std::uint32_t max) {
  const std::string_view text = FindHeader(headers, name);
  if (text.empty()) {
    return std::optional<std::uint32_t>{};
  }
  std::uint32_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || value > max) {
    return base::Fail(base::ErrorKind::kBadRequest,
                      std::string(name) + " must be a number from 0 to " +
                          std::to_string(max));
  }
  return std::optional(value);
}

base::Result<void> ReadPath(CallerRequest& request) {
  std::string_view path = request.target;
  path = path.substr(0, path.find('?'));
  if (!path.starts_with(kPathPrefix)) {
    return base::Fail(base::ErrorKind::kBadRequest,
                      "the path must be /s/SERVICE/KIND/...");
  }
  path.remove_prefix(kPathPrefix.size());
  const std::size_t service_end = path.find('/');
  if (service_end == std::string_view::npos || service_end == 0) {
    return base::Fail(base::ErrorKind::kBadRequest,
                      "the path must be /s/SERVICE/KIND/...");
  }
  request.service = path.substr(0, service_end);
  path.remove_prefix(service_end + 1);
  request.kind = path.substr(0, path.find('/'));
  if (request.kind.empty() || request.kind.size() > kMaxNameBytes ||
      request.service.size() > kMaxNameBytes) {
    return base::Fail(base::ErrorKind::kBadRequest,
                      "the path must name a request kind");
  }
  return base::outcome::success();
}

std::optional<base::ErrorKind> FindErrorKind(std::string_view name) {
  const auto table = base::ErrorTable();
  const auto found = std::ranges::find(table, name, &base::ErrorInfo::name);
  return found == table.end() ? std::nullopt : std::optional(found->kind);
}

CallerAnswer MakeErrorAnswer(const base::ErrorInfo& row,
                             std::string_view detail) {
  const nlohmann::json body{{"error", row.name},
                            {"outcome", base::OutcomeName(row.outcome)},
                            {"advice", base::AdviceName(row.advice)},
                            {"detail", detail}};
  CallerAnswer answer;
  answer.status = row.http_status;
  answer.outcome = row.outcome;
  answer.error = row.kind;
  answer.headers = {
      {"Content-Type", "application/json"},
      {std::string(kErrorHeader), std::string(row.name)},
      {std::string(kAdviceHeader), std::string(base::AdviceName(row.advice))}};
  if (row.advice == base::RetryAdvice::kSoon) {
    answer.headers.push_back({"Retry-After", "1"});
  }
  answer.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  return answer;
}

}  // namespace

base::Result<void> ParseCallerRequest(CallerRequest& request) {
  BOOST_OUTCOME_TRY(ReadPath(request));
  request.key = FindHeader(request.headers, kKeyHeader);
  request.account = FindHeader(request.headers, kAccountHeader);
  request.request_id = FindHeader(request.headers, kRequestIdHeader);
  request.is_first_send = FindHeader(request.headers, kFirstSendHeader) == "1";
  if (request.key.size() > kMaxKeyBytes ||
      request.account.size() > kMaxNameBytes ||
      request.request_id.size() > kMaxNameBytes) {
    return base::Fail(base::ErrorKind::kBadRequest,
                      "a key has at most 1024 bytes; an account and a request "
                      "id have at most 256");
  }
  BOOST_OUTCOME_TRY(
      hops, ReadNumber(request.headers, kHopsHeader, routing::kMaxHops));
  request.hops = hops.value_or(0);
  BOOST_OUTCOME_TRY(
      deadline, ReadNumber(request.headers, kDeadlineHeader, kMaxDeadlineMs));
  if (deadline) {
    request.allowed_time = base::milliseconds{*deadline};
  }
  return base::outcome::success();
}

CallerAnswer ErrorAnswer(base::ErrorKind kind, std::string_view detail) {
  return MakeErrorAnswer(base::GetErrorInfo(kind), detail);
}

CallerAnswer DowngradeUnconfirmedRefusal(const CallerRequest& request,
                                         CallerAnswer answer) {
  const bool keeps_outcome =
      request.request_id.empty() || request.is_first_send ||
      answer.is_confirmed_by_id_record || !answer.error ||
      answer.outcome != base::Outcome::kNotRun;
  if (keeps_outcome) {
    return answer;
  }
  base::ErrorInfo row = base::GetErrorInfo(*answer.error);
  row.outcome = base::Outcome::kUnknown;
  row.advice = base::RetryAdvice::kCheck;
  return MakeErrorAnswer(row,
                         "this request was not run; it is unknown whether an "
                         "earlier one with the same request id was run");
}

CallerAnswer ReadPeerAnswer(ExchangeAnswer answer) {
  const std::string_view outcome_name =
      FindHeader(answer.headers, kOutcomeHeader);
  CallerAnswer converted;
  converted.status = answer.status;
  if (outcome_name == base::OutcomeName(base::Outcome::kAnswered)) {
    converted.outcome = base::Outcome::kAnswered;
  } else {
    const auto kind = FindErrorKind(FindHeader(answer.headers, kErrorHeader));
    if (!kind) {
      return ErrorAnswer(base::ErrorKind::kPeerLost,
                         "the response was not sent by a daemon");
    }
    converted.error = kind;
    converted.outcome =
        outcome_name == base::OutcomeName(base::Outcome::kNotRun)
            ? base::GetErrorInfo(*kind).outcome
            : base::Outcome::kUnknown;
  }
  std::erase_if(answer.headers, [](const Header& header) {
    return header.name == kOutcomeHeader;
  });
  converted.headers = std::move(answer.headers);
  converted.body = std::move(answer.body);
  converted.reservation = std::move(answer.reservation);
  converted.is_confirmed_by_id_record = true;
  return converted;
}

}  // namespace eelgrassbridge::daemon
