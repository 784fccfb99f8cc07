// Authorization, catalogue changes and the read-only endpoints.
#include "eelgrassbridge/daemon/admin_handler.hpp"

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "eelgrassbridge/catalogue/catalogue_json.hpp"
#include "eelgrassbridge/catalogue/diff.hpp"
#include "eelgrassbridge/daemon/admin_access.hpp"
#include "eelgrassbridge/daemon/caller_request.hpp"

namespace eelgrassbridge::daemon {

namespace {

using base::ErrorKind;
using nlohmann::json;
using settings::OperatorScope;
using settings::OperatorToken;

constexpr std::uint32_t kDefaultHistoryEntries = 20;
constexpr std::uint32_t kMaxHistoryEntries = 200;
constexpr std::size_t kMaxReasonBytes = 1000;

AdminResponse Success(std::string body) {
  return {200, {{"Content-Type", "application/json"}}, std::move(body)};
}

AdminResponse Failure(ErrorKind kind, std::string_view detail) {
  CallerAnswer answer = ErrorAnswer(kind, detail);
  return {answer.status, std::move(answer.headers), std::move(answer.body)};
}

AdminResponse Failure(const base::Error& error) {
  return Failure(error.kind, error.detail);
}

/// Counts and returns a refusal for a missing or invalid token or scope.
AdminResponse Refuse(const AdminContext& context,
                     ErrorKind kind,
                     std::string_view detail) {
  base::GetCounter(context.counters, "operator_refused_total",
                   fmt::format("reason=\"{}\"", base::ErrorName(kind)))
      .fetch_add(1);
  return Failure(kind, detail);
}

AdminResponse Conflict(const catalogue::Catalogue& winner,
                       std::string_view detail) {
  AdminResponse response = Failure(ErrorKind::kVersionConflict, detail);
  json body = json::parse(response.body);
  body["catalogue"] = catalogue::CatalogueToJson(winner);
  response.body =
      body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return response;
}

AdminResponse ConflictWith(const catalogue::Catalogue& winner,
                           std::uint64_t expected) {
  return Conflict(
      winner, fmt::format("the change is based on version {}, but the current "
                          "version is version {} by {}",
                          expected, winner.version, winner.changed_by));
}

bool IsOutOfServiceOnly(const std::vector<catalogue::Change>& changes) {
  return std::ranges::all_of(changes, [](const catalogue::Change& change) {
    return change.subject == catalogue::Subject::kOutOfService;
  });
}

bool HasOutOfService(const std::vector<catalogue::Change>& changes) {
  return std::ranges::any_of(changes, [](const catalogue::Change& change) {
    return change.subject == catalogue::Subject::kOutOfService;
  });
}

/// Validates the content of a change. The version and the scopes of the token
/// are checked separately.
base::Result<void> CheckChange(const CatalogueChange& change,
                               const catalogue::Catalogue& current,
                               const std::vector<catalogue::Change>& changes) {
  if (current.version != 0 && change.next.site != current.site) {
    return base::Fail(ErrorKind::kBadRequest,
                      fmt::format("the catalogue is for site {}, but this is "
                                  "site {}",
                                  change.next.site, current.site));
  }
  if (changes.empty()) {
    return base::Fail(ErrorKind::kBadRequest,
                      "the catalogue equals the current version");
  }
  if (change.next.reason.size() > kMaxReasonBytes) {
    return base::Fail(
        ErrorKind::kBadRequest,
        fmt::format("reason: must be at most {} bytes", kMaxReasonBytes));
  }
  const auto forbidden = catalogue::ForbiddenReasons(current, change.next);
  if (!forbidden.empty()) {
    return base::Fail(ErrorKind::kBadRequest,
                      fmt::format("{}", fmt::join(forbidden, "; ")));
  }
  const auto reasons = catalogue::UnsafeReasons(current, change.next);
  if (!reasons.empty() && !change.allow_unsafe) {
    return base::Fail(ErrorKind::kUnsafeChange,
                      fmt::format("{}", fmt::join(reasons, "; ")));
  }
  return base::outcome::success();
}

AdminResponse ToResponse(const CatalogueChange& change,
                         const ChangeResult& result) {
  switch (result.status) {
    case ChangeResult::Status::kAccepted:
      return Success(json{{"version", change.expected_version + 1},
                          {"operation_id", change.operation_id}}
                         .dump());
    case ChangeResult::Status::kConflict:
      return ConflictWith(result.current, change.expected_version);
    case ChangeResult::Status::kUnknown:
      return Failure(
          ErrorKind::kStoreResultUnknown,
          "the change may have taken effect or may still do so; check "
          "/admin/history for the operation id. " +
              result.detail);
    case ChangeResult::Status::kUnavailable:
      return Failure(ErrorKind::kStoreUnavailable,
                     "nothing was changed. " + result.detail);
  }
  return Failure(ErrorKind::kInternal, {});
}

AdminResponse SubmitChange(const AdminContext& context,
                           const OperatorToken& token,
                           const AdminRequest& request) {
  auto read = ReadChangeJson(request.body);
  if (!read) {
    return Failure(read.error());
  }
  CatalogueChange change = std::move(read.value());
  const auto current = context.hooks.read_catalogue();
  const catalogue::Catalogue none;
  const catalogue::Catalogue& before = current == nullptr ? none : *current;
  if (before.version > change.expected_version) {
    return ConflictWith(before, change.expected_version);
  }
  if (before.version < change.expected_version) {
    // The checks below need the catalogue that the change is based on.
    return Failure(
        ErrorKind::kNotReady,
        fmt::format("the newest version that this daemon knows is {}; nothing "
                    "was changed",
                    before.version));
  }
  const auto changes = catalogue::Diff(before, change.next);
  const bool may_change =
      (IsOutOfServiceOnly(changes) ||
       HasScope(token, OperatorScope::kChangeCatalogue)) &&
      (!HasOutOfService(changes) || HasScope(token, OperatorScope::kTakeOut));
  if (!may_change) {
    return Refuse(context, ErrorKind::kForbidden,
                  "changes of what is out of service require the scope "
                  "take_out; all other changes require change_catalogue");
  }
  const auto checked = CheckChange(change, before, changes);
  if (!checked) {
    return Failure(checked.error());
  }
  change.next.version = change.expected_version + 1;
  change.next.changed_by = token.name;
  change.next.changed_at_ms = context.now_ms;
  return ToResponse(change, context.hooks.submit_change(change));
}

AdminResponse GetCatalogue(const AdminContext& context) {
  const auto current = context.hooks.read_catalogue();
  return Success(catalogue::WriteCatalogueJson(
      current == nullptr ? catalogue::Catalogue{} : *current));
}

AdminResponse GetHistory(const AdminContext& context, std::string_view query) {
  std::uint32_t limit = kDefaultHistoryEntries;
  if (!query.empty()) {
    constexpr std::string_view kLimit = "limit=";
    const char* end = query.data() + query.size();
    if (!query.starts_with(kLimit) ||
        std::from_chars(query.data() + kLimit.size(), end, limit).ptr != end ||
        limit == 0 || limit > kMaxHistoryEntries) {
      return Failure(
          ErrorKind::kBadRequest,
          fmt::format("limit: must be from 1 to {}", kMaxHistoryEntries));
    }
  }
  const auto entries = context.hooks.read_history(limit);
  return entries ? Success(WriteHistoryJson(entries.value()))
                 : Failure(entries.error());
}

AdminResponse HandleGet(const AdminContext& context,
                        std::string_view path,
                        std::string_view query) {
  if (path == "/admin/catalogue") {
    return GetCatalogue(context);
  }
  if (path == "/admin/history") {
    return GetHistory(context, query);
  }
  if (path == "/admin/status") {
    return Success(WriteStatusJson(context.hooks.read_status()));
  }
  if (path == "/admin/burn" && context.hooks.read_burn) {
    return Success(context.hooks.read_burn());
  }
  return Failure(ErrorKind::kNotFound, "no such endpoint");
}

}  // namespace

AdminResponse HandleAdminRequest(const AdminContext& context,
                                 const AdminRequest& request) {
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  const auto token = FindOperator(context.operators,
                                  FindHeader(request.headers, "Authorization"),
                                  context.now_ms / kMillisecondsPerSecond);
  if (!token) {
    return Refuse(context, token.error().kind, token.error().detail);
  }
  const std::string_view target = request.target;
  const std::size_t query_mark = target.find('?');
  const std::string_view path = target.substr(0, query_mark);
  if (request.method == "POST" && path == "/admin/catalogue") {
    // Which scope is needed depends on the change. A token with neither scope
    // is refused before the body is parsed.
    if (!HasScope(*token.value(), OperatorScope::kChangeCatalogue) &&
        !HasScope(*token.value(), OperatorScope::kTakeOut)) {
      return Refuse(context, ErrorKind::kForbidden,
                    "the token has neither change_catalogue nor take_out");
    }
    return SubmitChange(context, *token.value(), request);
  }
  if (request.method != "GET") {
    return Failure(ErrorKind::kNotFound, "no such endpoint");
  }
  if (!HasScope(*token.value(), OperatorScope::kRead)) {
    return Refuse(context, ErrorKind::kForbidden,
                  "the token does not have the scope read");
  }
  return HandleGet(context, path,
                   query_mark == std::string_view::npos
                       ? ""
                       : target.substr(query_mark + 1));
}

}  // namespace eelgrassbridge::daemon
