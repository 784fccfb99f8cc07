// Implements the store operations over HTTP and on the memory table.
#include "eelgrassbridge/store/store.hpp"

#include <httplib.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "eelgrassbridge/base/header_syntax.hpp"
#include "eelgrassbridge/store/table_json.hpp"

namespace eelgrassbridge::store {

namespace {

using base::ErrorKind;
using Status = TransactionResult::Status;

constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
constexpr int kBadRequest = 400;
constexpr int kNotFoundStatus = 404;
constexpr int kConflictStatus = 409;
constexpr int kServerError = 500;
constexpr int kServiceUnavailable = 503;
constexpr const char* kJsonType = "application/json";

// Whether the error rules out that any part of the request reached the store.
bool IsNotSent(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

// 4xx and 503 mean that the store rejected the request before writing anything.
// After other server errors the result is unknown.
bool IsRejection(int status) {
  return status == kServiceUnavailable ||
         (status >= kBadRequest && status < kServerError);
}

// Turns a reply with a malformed head into one that was lost.
httplib::Result Checked(httplib::Result reply) {
  if (!reply || base::IsAnswerHead(*reply)) {
    return reply;
  }
  return {nullptr, httplib::Error::Read};
}

std::string Describe(const httplib::Result& reply) {
  return reply ? "the store responded with status " +
                     std::to_string(reply->status)
               : "request to the store failed: " +
                     httplib::to_string(reply.error());
}

base::Result<std::string> Get(HttpStore& store, const std::string& path) {
  const auto reply = Checked(store.client->Get(path));
  if (reply && reply->status == kOk) {
    if (!base::HasBodyFraming(*reply)) {
      return base::Fail(ErrorKind::kStoreUnavailable,
                        "the response of the store has no length");
    }
    return reply->body;
  }
  if (reply && reply->status == kNotFoundStatus) {
    return base::Fail(ErrorKind::kNotFound, "the store has no " + path);
  }
  return base::Fail(ErrorKind::kStoreUnavailable, Describe(reply));
}

base::Result<RowsPage> GetPage(HttpStore& store,
                               const std::string& path,
                               const httplib::Params& parameters) {
  const auto full_path = httplib::append_query_params(path, parameters);
  BOOST_OUTCOME_TRY(body, Get(store, full_path));
  auto page = ParseRows(body);
  if (!page) {
    return base::Fail(ErrorKind::kStoreUnavailable,
                      "malformed response to GET " + path);
  }
  return std::move(*page);
}

base::Result<RowsPage> ReadPage(HttpStore& store, const RowRange& range) {
  return GetPage(store, "/table/rows",
                 {{"prefix", std::string(range.prefix)},
                  {"after", std::string(range.after)},
                  {"limit", std::to_string(range.limit)}});
}

base::Result<RowsPage> ReadPage(MemoryStore& store, const RowRange& range) {
  return FindRows(*store.table, range);
}

base::Result<RowsPage> ReadPage(Store& store, const RowRange& range) {
  return std::visit([&](auto& backend) { return ReadPage(backend, range); },
                    store.backend);
}

// Whether the rows are exactly those of the keys, in order. Otherwise the
// caller might treat a missing row as absent.
bool MatchesKeys(std::span<const std::string> keys, const ReadResult& read) {
  return std::ranges::equal(keys, read.rows, {}, {}, &Row::key);
}

base::Result<ReadResult> ReadKeysFrom(HttpStore& store,
                                      std::span<const std::string> keys) {
  const auto reply =
      Checked(store.client->Post("/table/read", KeysToJson(keys), kJsonType));
  if (!reply || reply->status != kOk) {
    return base::Fail(ErrorKind::kStoreUnavailable, Describe(reply));
  }
  auto page = ParseRows(reply->body);
  if (!base::HasBodyFraming(*reply) || !page ||
      !MatchesKeys(keys, page->read)) {
    return base::Fail(ErrorKind::kStoreUnavailable,
                      "malformed response to POST /table/read");
  }
  return std::move(page->read);
}

base::Result<ReadResult> ReadKeysFrom(MemoryStore& store,
                                      std::span<const std::string> keys) {
  return FindKeys(*store.table, keys);
}

base::Result<ReadResult> ReadChangesFrom(HttpStore& store,
                                         std::uint64_t since) {
  const httplib::Params parameters{{"since", std::to_string(since)}};
  BOOST_OUTCOME_TRY(page, GetPage(store, "/table/changes", parameters));
  return std::move(page.read);
}

base::Result<ReadResult> ReadChangesFrom(MemoryStore& store,
                                         std::uint64_t since) {
  return FindChanges(*store.table, since);
}

TransactionResult TransactOn(HttpStore& store, const Transaction& transaction) {
  TransactionResult result;
  result.status = Status::kUnknown;
  const auto reply = Checked(store.client->Post(
      "/table/transact", TransactionToJson(transaction), kJsonType));
  if (!reply) {
    if (IsNotSent(reply.error())) {
      result.status = Status::kNotSent;
    }
    return result;
  }
  if (IsRejection(reply->status) && reply->status != kConflictStatus) {
    result.status = Status::kNotSent;
  } else if (!base::HasBodyFraming(*reply)) {
    return result;
  } else if (reply->status == kOk) {
    if (auto versions = ParseVersions(reply->body)) {
      result.status = Status::kApplied;
      result.versions = std::move(*versions);
    }
  } else if (reply->status == kConflictStatus) {
    if (auto conflicts = ParseConflicts(reply->body)) {
      result.status = Status::kConflict;
      result.conflicts = std::move(*conflicts);
    }
  }
  return result;
}

TransactionResult TransactOn(MemoryStore& store,
                             const Transaction& transaction) {
  return ApplyTransaction(*store.table, transaction);
}

std::string ObjectPath(std::string_view name) {
  return "/objects/" + std::string(name);
}

base::Result<std::string> GetObjectFrom(HttpStore& store,
                                        std::string_view name) {
  return Get(store, ObjectPath(name));
}

base::Result<std::string> GetObjectFrom(MemoryStore& store,
                                        std::string_view name) {
  if (auto content = FindObject(*store.table, name)) {
    return std::move(*content);
  }
  return base::Fail(ErrorKind::kNotFound,
                    "the store has no object " + std::string(name));
}

base::Result<void> PutObjectTo(HttpStore& store,
                               std::string_view name,
                               std::string_view content) {
  const auto reply =
      Checked(store.client->Put(ObjectPath(name), content.data(),
                                content.size(), "application/octet-stream"));
  if (reply && reply->status >= kOk && reply->status < kMultipleChoices) {
    return base::outcome::success();
  }
  const bool not_written =
      reply ? IsRejection(reply->status) : IsNotSent(reply.error());
  return base::Fail(not_written ? ErrorKind::kStoreUnavailable
                                : ErrorKind::kStoreResultUnknown,
                    Describe(reply));
}

base::Result<void> PutObjectTo(MemoryStore& store,
                               std::string_view name,
                               std::string_view content) {
  SetObject(*store.table, name, std::string(content));
  return base::outcome::success();
}

}  // namespace

Store MakeHttpStore(const HttpStoreOptions& options) {
  auto client = std::make_shared<httplib::Client>(options.ip, options.port);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_connection_timeout(options.timeout);
  client->set_read_timeout(options.timeout);
  client->set_write_timeout(options.timeout);
  return Store{HttpStore{std::move(client)}};
}

Store MakeMemoryStore(std::shared_ptr<MemoryTable> table) {
  return Store{MemoryStore{std::move(table)}};
}

base::Result<ReadResult> ReadRows(Store& store, std::string_view prefix) {
  RowRange range{.prefix = prefix};
  BOOST_OUTCOME_TRY(page, ReadPage(store, range));
  ReadResult all = std::move(page.read);
  while (page.more && !all.rows.empty()) {
    const std::string after = all.rows.back().key;
    range.after = after;
    BOOST_OUTCOME_TRY(next, ReadPage(store, range));
    page = std::move(next);
    all.rows.insert(all.rows.end(),
                    std::make_move_iterator(page.read.rows.begin()),
                    std::make_move_iterator(page.read.rows.end()));
  }
  return all;
}

base::Result<Row> ReadRow(Store& store, std::string_view key) {
  // In key order, the first key with the prefix K is K itself if it exists.
  const RowRange range{.prefix = key, .after = {}, .limit = 1};
  BOOST_OUTCOME_TRY(page, ReadPage(store, range));
  if (!page.read.rows.empty() && page.read.rows.front().key == key) {
    return std::move(page.read.rows.front());
  }
  return Row{.key = std::string(key), .version = 0, .value = {}};
}

base::Result<ReadResult> ReadKeys(Store& store,
                                  std::span<const std::string> keys) {
  ReadResult all;
  for (std::size_t at = 0; at < keys.size(); at += kMaxKeysPerRead) {
    const auto batch =
        keys.subspan(at, std::min(kMaxKeysPerRead, keys.size() - at));
    BOOST_OUTCOME_TRY(
        read,
        std::visit([&](auto& backend) { return ReadKeysFrom(backend, batch); },
                   store.backend));
    if (at == 0) {
      all.revision = read.revision;
    }
    std::ranges::move(read.rows, std::back_inserter(all.rows));
  }
  return all;
}

base::Result<ReadResult> ReadChanges(Store& store,
                                     std::uint64_t since_revision) {
  return std::visit(
      [&](auto& backend) { return ReadChangesFrom(backend, since_revision); },
      store.backend);
}

TransactionResult Transact(Store& store, const Transaction& transaction) {
  return std::visit(
      [&](auto& backend) { return TransactOn(backend, transaction); },
      store.backend);
}

base::Result<std::string> GetObject(Store& store, std::string_view name) {
  return std::visit([&](auto& backend) { return GetObjectFrom(backend, name); },
                    store.backend);
}

base::Result<void> PutObject(Store& store,
                             std::string_view name,
                             std::string_view content) {
  return std::visit(
      [&](auto& backend) { return PutObjectTo(backend, name, content); },
      store.backend);
}

}  // namespace eelgrassbridge::store
