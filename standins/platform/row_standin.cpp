// HTTP calls of the stand-in store.
#include "row_standin.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/tcp.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "base64.hpp"
#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::standins {

namespace {

using asio::awaitable;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kGone = 410;
constexpr int kConditionFailed = 412;
constexpr int kServiceUnavailable = 503;
/// Longer than any caller waits for a response.
constexpr std::chrono::milliseconds kUnresponsiveTime{60000};
constexpr std::chrono::milliseconds kLateWriteDelay{300};
/// Bytes of a response after which the link checks whether its caller has left.
constexpr std::size_t kLinkPieceBytes = std::size_t{8} * 1024;

RowStandin::Name NameOf(const json& value) {
  return {value.at("table").get<std::string>(),
          value.at("part").get<std::string>(),
          value.at("key").get<std::string>()};
}

json RowJson(const RowStandin::Name& name, const RowStandin::Row& row) {
  json value = {{"table", std::get<0>(name)},
                {"part", std::get<1>(name)},
                {"key", std::get<2>(name)},
                {"ver", row.version}};
  if (row.removed) {
    value["removed"] = true;
  } else {
    value["value"] = row.value;
  }
  return value;
}

json State(const RowStandin& standin) {
  const auto now = base::BootClock::now().time_since_epoch();
  return {{"ver", standin.version},
          {"now_s", std::chrono::duration<double>(now).count()}};
}

std::uint64_t VersionOf(const RowStandin& standin,
                        const RowStandin::Name& name) {
  const auto found = standin.rows.find(name);
  return found == standin.rows.end() || found->second.removed
             ? 0
             : found->second.version;
}

/// Conditions, writes and removals of one transaction.
constexpr std::size_t kMaxEntries = 100;

struct Reply {
  int status = kOk;
  json body;
};

Reply ApplyTransaction(RowStandin& standin, const json& request) {
  const std::size_t entries = request.at("expect").size() +
                              request.at("writes").size() +
                              request.at("delete").size();
  if (entries > kMaxEntries) {
    return {kBadRequest, json::object()};
  }
  Reply reply{kOk, State(standin)};
  json present = json::array();
  bool all_match = true;
  for (const json& condition : request.at("expect")) {
    const RowStandin::Name name = NameOf(condition);
    const std::uint64_t version = VersionOf(standin, name);
    all_match =
        all_match && version == condition.at("ver").get<std::uint64_t>();
    if (version > 0) {
      present.push_back(RowJson(name, standin.rows.at(name)));
    }
  }
  if (!all_match) {
    reply.status = kConditionFailed;
    reply.body["rows"] = present;
    return reply;
  }
  ++standin.version;
  ++standin.writes;
  for (const json& write : request.at("writes")) {
    const RowStandin::Name name = NameOf(write);
    if (std::get<0>(name) == "op") {
      return {kForbidden, json::object()};
    }
    standin.rows[name] = {write.at("value").get<std::string>(), standin.version,
                          false};
  }
  for (const json& removal : request.at("delete")) {
    standin.rows[NameOf(removal)] = {{}, standin.version, true};
  }
  http::Notify(standin.changed);
  reply.body = State(standin);
  return reply;
}

int HexDigit(char letter) {
  int value = 0;
  std::from_chars(&letter, &letter + 1, value, 16);
  return value;
}

std::string UrlDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded +=
          static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::map<std::string, std::string> QueryOf(std::string_view target) {
  std::map<std::string, std::string> query;
  const auto mark = target.find('?');
  std::string_view rest =
      mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const std::string_view item = rest.substr(0, end);
    const auto equals = item.find('=');
    query[std::string(item.substr(0, equals))] =
        UrlDecode(item.substr(equals + 1));
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return query;
}

Reply GetRows(RowStandin& standin, std::string_view target) {
  auto query = QueryOf(target);
  Reply reply{kOk, State(standin)};
  reply.body["rows"] = json::array();
  reply.body["has_more"] = false;
  for (const auto& [name, row] : standin.rows) {
    const auto& [table, partition, key] = name;
    if (table == query["table"] && partition == query["part"] &&
        key >= query["from"] && !row.removed) {
      ++standin.rows_sent[name];
      reply.body["rows"].push_back(RowJson(name, row));
    }
  }
  return reply;
}

/// Rows of the table that changed after the version, oldest change first.
json ChangedRows(RowStandin& standin,
                 const std::string& table,
                 std::uint64_t after) {
  std::map<std::uint64_t, json> changed;
  for (const auto& [name, row] : standin.rows) {
    if (std::get<0>(name) == table && row.version > after) {
      ++standin.rows_sent[name];
      json& list = changed[row.version];
      list.push_back(RowJson(name, row));
    }
  }
  json rows = json::array();
  for (const auto& [version, list] : changed) {
    for (const json& row : list) {
      rows.push_back(row);
    }
  }
  return rows;
}

/// Returns nothing if the store was restored, or the caller has closed the
/// connection, while the poll was waiting.
awaitable<std::optional<Reply>> FollowRows(
    RowStandin& standin,
    std::string target,
    const http::ServerConnection& connection) {
  auto query = QueryOf(target);
  const std::uint64_t era = standin.era;
  const std::uint64_t after = http::ParseNumber(query["after"]).value_or(0);
  const auto wait = base::milliseconds{static_cast<std::int64_t>(
      http::ParseNumber(query["wait_ms"]).value_or(0))};
  if (after < standin.history_from || after > standin.version) {
    co_return Reply{kGone, State(standin)};
  }
  const base::TimePoint end = base::BootClock::now() + wait;
  json rows = ChangedRows(standin, query["table"], after);
  while (rows.empty() && base::BootClock::now() < end) {
    co_await http::WaitUntil(standin.changed, end);
    if (standin.era != era || connection.caller_disconnected) {
      co_return std::nullopt;
    }
    rows = ChangedRows(standin, query["table"], after);
  }
  Reply reply{kOk, State(standin)};
  reply.body["rows"] = std::move(rows);
  co_return reply;
}

awaitable<void> ApplyLate(RowStandin& standin, json request) {
  co_await http::Sleep(static_cast<asio::io_context&>(
                           standin.changed.timer->get_executor().context()),
                       kLateWriteDelay);
  ApplyTransaction(standin, request);
}

/// Returns nothing if the call gets no response.
awaitable<std::optional<Reply>> Dispatch(
    RowStandin& standin,
    std::string target,
    std::string body,
    const http::ServerConnection& connection) {
  const std::string_view path = http::PathWithoutQuery(target);
  if (path == "/api/rows-tx") {
    if (standin.fault == StoreFault::kRefusesWrites) {
      co_return Reply{kBadRequest, json::object()};
    }
    const json request = json::parse(body);
    if (standin.fault == StoreFault::kLateWrites) {
      asio::co_spawn(standin.server.io, ApplyLate(standin, request),
                     asio::detached);
      co_return Reply{};
    }
    co_return ApplyTransaction(standin, request);
  }
  if (path == "/api/rows-get") {
    co_return GetRows(standin, target);
  }
  if (path == "/api/rows-feed") {
    co_return co_await FollowRows(standin, target, connection);
  }
  co_return Reply{kBadRequest, json::object()};
}

http::Headers EraHeader(const RowStandin& standin) {
  return {{"Store-Era", std::to_string(standin.era)}};
}

/// Sends a response over the shared link, after those that were there before.
/// Stops when the caller has closed the connection.
awaitable<void> SendOverLink(RowStandin& standin,
                             http::Exchange& exchange,
                             int status,
                             std::string_view text) {
  const std::uint64_t turn = standin.link_turns++;
  while (standin.link_turn != turn) {
    co_await http::Wait(standin.link_free);
  }
  bool sending = !exchange.connection->caller_disconnected;
  sending = sending && co_await http::StartResponse(
                           exchange, status, EraHeader(standin), text.size());
  while (sending && !text.empty() &&
         !exchange.connection->caller_disconnected) {
    const std::string_view piece = text.substr(0, kLinkPieceBytes);
    text.remove_prefix(piece.size());
    co_await http::Sleep(
        standin.server.io,
        base::Duration{static_cast<std::int64_t>(
            static_cast<double>(piece.size()) / standin.link_rate * 1e6)});
    sending = co_await http::WriteBody(exchange, piece);
  }
  ++standin.link_turn;
  http::Notify(standin.link_free);
  if (sending && text.empty()) {
    co_await http::FinishResponse(exchange);
  } else {
    http::Abort(exchange);
  }
}

awaitable<void> Handle(RowStandin& standin, http::Exchange& exchange) {
  ++standin.calls;
  std::string body;
  http::BodyRead read = http::BodyRead::kMore;
  while (read == http::BodyRead::kMore) {
    read = co_await http::ReadBody(exchange, body);
  }
  if (standin.delay.count() > 0) {
    co_await http::Sleep(standin.server.io, standin.delay);
  }
  if (standin.fault == StoreFault::kUnavailable) {
    co_await http::Respond(exchange, kServiceUnavailable, EraHeader(standin),
                           {});
    co_return;
  }
  if (standin.fault == StoreFault::kUnresponsive) {
    co_await http::Sleep(standin.server.io, kUnresponsiveTime);
    co_return;
  }
  const std::string target = exchange.head.target;
  const auto reply =
      co_await Dispatch(standin, target, body, *exchange.connection);
  const bool faulty = standin.fault != StoreFault::kNone &&
                      standin.fault != StoreFault::kRefusesWrites;
  if (!reply || faulty) {
    http::Abort(exchange);
    co_return;
  }
  const std::string text = reply->body.dump();
  if (standin.link_rate > 0) {
    co_await SendOverLink(standin, exchange, reply->status, text);
    co_return;
  }
  co_await http::Respond(exchange, reply->status, EraHeader(standin), text);
}

}  // namespace

RowStandin::RowStandin(asio::io_context& io)
    : server(io), changed(io), link_free(io) {}

std::string Start(RowStandin& standin) {
  standin.server.handler = [&standin](http::Exchange& exchange) {
    return Handle(standin, exchange);
  };
  http::Listen(standin.server, {asio::ip::make_address("127.0.0.1"), 0});
  asio::co_spawn(standin.server.io, http::Serve(standin.server),
                 asio::detached);
  return "127.0.0.1:" +
         std::to_string(standin.server.acceptor->local_endpoint().port());
}

void PutOperatorRow(RowStandin& standin,
                    std::string_view key,
                    std::string_view value) {
  ++standin.version;
  standin.rows[{"op", "", std::string(key)}] = {platform::EncodeBase64(value),
                                                standin.version, false};
  http::Notify(standin.changed);
}

void RemoveOperatorRow(RowStandin& standin, std::string_view key) {
  ++standin.version;
  standin.rows[{"op", "", std::string(key)}] = {{}, standin.version, true};
  http::Notify(standin.changed);
}

void DropHistory(RowStandin& standin) {
  standin.history_from = standin.version + 1;
  ++standin.version;
  http::Notify(standin.changed);
}

StoreCopy CopyOf(const RowStandin& standin) {
  return {standin.rows, standin.version};
}

void Restore(RowStandin& standin, const StoreCopy& copy) {
  standin.rows = copy.rows;
  standin.version = copy.version;
  ++standin.era;
  http::Notify(standin.changed);
}

std::string ValueOf(const RowStandin& standin, const RowStandin::Name& name) {
  const auto found = standin.rows.find(name);
  if (found == standin.rows.end() || found->second.removed) {
    return {};
  }
  return platform::DecodeBase64(found->second.value).value_or("");
}

}  // namespace eelgrassbridge::standins
