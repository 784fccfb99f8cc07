// Tests of the store client, on the memory table and against a server with
// scripted replies.
#include "eelgrassbridge/store/store.hpp"

#include <doctest/doctest.h>
#include <httplib.h>

#include <thread>

#include "eelgrassbridge/store/table_json.hpp"
#include "raw_server.hpp"

namespace eelgrassbridge::store {
namespace {

using Status = TransactionResult::Status;

Transaction Write(std::string key, std::uint64_t expected, std::string value) {
  return {.operation_id = "op",
          .writes = {{.key = std::move(key),
                      .expected_version = expected,
                      .value = std::move(value)}}};
}

struct ServerFixture {
  ServerFixture() {
    this->port = this->server.bind_to_any_port("127.0.0.1");
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    while (!this->server.is_running()) {
      std::this_thread::yield();
    }
  }
  ~ServerFixture() {
    this->server.stop();
    this->thread.join();
  }
  Store MakeStore() {
    return MakeHttpStore({.ip = "127.0.0.1",
                          .port = static_cast<std::uint16_t>(this->port),
                          .timeout = base::milliseconds{200}});
  }

  httplib::Server server;
  int port = 0;
  std::thread thread;
};

// Guards against a delayed write that matches a row deleted and created again.
TEST_CASE("Row versions are never reused") {
  auto table = std::make_shared<MemoryTable>();
  Store store = MakeMemoryStore(table);
  const auto first = Transact(store, Write("a", 0, "1"));
  REQUIRE(first.status == Status::kApplied);
  Transaction removal = Write("a", first.versions[0], "");
  removal.writes[0].value.reset();
  REQUIRE(Transact(store, removal).status == Status::kApplied);
  REQUIRE(Transact(store, Write("a", 0, "2")).status == Status::kApplied);
  const auto late = Transact(store, Write("a", first.versions[0], "late"));
  CHECK(late.status == Status::kConflict);
  CHECK(late.conflicts.at(0).value == "2");
}

// Guards against transactions that are applied partially.
TEST_CASE("A conflict on one row leaves all rows unchanged") {
  Store store = MakeMemoryStore(std::make_shared<MemoryTable>());
  REQUIRE(Transact(store, Write("a", 0, "1")).status == Status::kApplied);
  Transaction both = Write("b", 0, "1");
  both.writes.push_back({.key = "a", .expected_version = 0, .value = "2"});
  CHECK(Transact(store, both).status == Status::kConflict);
  CHECK(ReadRow(store, "b").value().version == 0);
  CHECK(ReadRow(store, "a").value().value == "1");
}

// Guards against the row of a longer key being returned for the requested one.
TEST_CASE("A read of one row does not match a longer key") {
  Store store = MakeMemoryStore(std::make_shared<MemoryTable>());
  REQUIRE(Transact(store, Write("group/10", 0, "x")).status ==
          Status::kApplied);
  CHECK(ReadRow(store, "group/1").value().version == 0);
}

// Guards against rows missing between pages and deletions missing in changes.
TEST_CASE("Reads of several pages and of changes are complete") {
  auto table = std::make_shared<MemoryTable>();
  Store store = MakeMemoryStore(table);
  constexpr int kRows = 2500;
  for (int i = 0; i < kRows; ++i) {
    REQUIRE(Transact(store, Write("p/" + std::to_string(i), 0, "v")).status ==
            Status::kApplied);
  }
  REQUIRE(Transact(store, Write("q", 0, "v")).status == Status::kApplied);
  const auto all = ReadRows(store, "p/").value();
  CHECK(all.rows.size() == kRows);
  Transaction removal = Write("q", kRows + 1, "");
  removal.writes[0].value.reset();
  REQUIRE(Transact(store, removal).status == Status::kApplied);
  const auto changes = ReadChanges(store, all.revision).value();
  REQUIRE(changes.rows.size() == 1);
  CHECK(changes.rows[0].version == 0);
}

// Guards against rows returned for the wrong key, and against missing keys
// after the first request.
TEST_CASE("A read of many keys returns the rows in the order of the keys") {
  Store store = MakeMemoryStore(std::make_shared<MemoryTable>());
  REQUIRE(Transact(store, Write("k/1", 0, "v")).status == Status::kApplied);
  std::vector<std::string> keys(kMaxKeysPerRead + 1, "k/0");
  keys.back() = "k/1";
  const auto read = ReadKeys(store, keys).value();
  REQUIRE(read.rows.size() == keys.size());
  CHECK(read.revision == 1);
  CHECK(read.rows.front().version == 0);
  CHECK(read.rows.back().value == "v");
  CHECK(ParseKeys(KeysToJson(keys)) == keys);
  CHECK_FALSE(ParseKeys(R"({"keys":[1]})").has_value());
}

// Guards against a row that is missing in the response being treated as absent.
TEST_CASE("A response with other keys than requested fails the read") {
  MemoryTable table;
  std::vector<std::string> returned_keys = {"a", "b"};
  ServerFixture fixture;
  fixture.server.Post("/table/read", [&](const httplib::Request&,
                                         httplib::Response& response) {
    response.set_content(RowsToJson({.read = FindKeys(table, returned_keys)}),
                         "application/json");
  });
  Store store = fixture.MakeStore();
  const std::vector<std::string> keys = {"a", "b"};
  CHECK(ReadKeys(store, keys).has_value());
  returned_keys = {"a"};
  CHECK_FALSE(ReadKeys(store, keys).has_value());
  returned_keys = {"b", "a"};
  CHECK_FALSE(ReadKeys(store, keys).has_value());
}

// Guards against a write that may have been applied being reported as not sent,
// and the reverse.
TEST_CASE("Replies of the table service map to transaction results") {
  // Declared before the server, whose delayed handler still reads them.
  int status = 200;
  std::string body = R"({"versions":[7]})";
  bool late = false;
  ServerFixture fixture;
  fixture.server.Post("/table/transact", [&](const httplib::Request& request,
                                             httplib::Response& response) {
    CHECK(ParseTransaction(request.body)->writes.size() == 1);
    if (late) {
      std::this_thread::sleep_for(base::milliseconds{600});
    }
    response.status = status;
    response.set_content(body, "application/json");
  });
  Store store = fixture.MakeStore();
  const auto applied = Transact(store, Write("a", 0, "1"));
  CHECK(applied.status == Status::kApplied);
  CHECK(applied.versions == std::vector<std::uint64_t>{7});
  status = 409;
  body = R"({"conflicts":[{"key":"a","version":3,"value":"w"}]})";
  CHECK(Transact(store, Write("a", 0, "1")).conflicts.at(0).version == 3);
  status = 503;
  CHECK(Transact(store, Write("a", 0, "1")).status == Status::kNotSent);
  status = 500;
  CHECK(Transact(store, Write("a", 0, "1")).status == Status::kUnknown);
  status = 200;
  body = "{";
  CHECK(Transact(store, Write("a", 0, "1")).status == Status::kUnknown);
  late = true;
  CHECK(Transact(store, Write("a", 0, "1")).status == Status::kUnknown);
}

// Guards against an unreachable store making the result of a write unknown.
TEST_CASE("A refused connection is reported as not sent") {
  int port = 0;
  {
    const ServerFixture stopped;
    port = stopped.port;
  }
  Store store = MakeHttpStore(
      {.ip = "127.0.0.1", .port = static_cast<std::uint16_t>(port)});
  CHECK(Transact(store, Write("a", 0, "1")).status == Status::kNotSent);
  const auto read = ReadRow(store, "a");
  REQUIRE(!read);
  CHECK(read.error().kind == base::ErrorKind::kStoreUnavailable);
}

Store StoreAt(std::uint16_t port) {
  return MakeHttpStore(
      {.ip = "127.0.0.1", .port = port, .timeout = base::milliseconds{200}});
}

// Body that a reply to a read and to a transaction may have.
constexpr const char* kReplyBody =
    R"({"versions":[7],"conflicts":[],"rows":[]})";

// Guards against a malformed reply, or a part of one, that is taken for the
// content of the store, and against a write that may have been applied being
// reported as not sent because of such a reply.
TEST_CASE("A malformed reply is neither read nor a refusal") {
  const std::string body = kReplyBody;
  const std::string rest = "\r\n" + body;
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  std::vector<std::string> heads;
  for (const char* status : {"000 None", "099 Low", "199 Low", "600 High"}) {
    heads.push_back(std::string("HTTP/1.1 ") + status + "\r\n" + length);
  }
  for (const char* status :
       {"200 OK", "404 None", "409 Conflict", "503 Full"}) {
    for (const char* header :
         {"X Bad: v", "X-Bad : v", " X-Bad: v", "X\x01: v", "\rX-Bad: v", ": v",
          "X: a\x01z", "X: a%0d%0aY: b", "Transfer Encoding: chunked"}) {
      heads.push_back(std::string("HTTP/1.1 ") + status + "\r\n" + length +
                      header + "\r\n");
    }
  }
  for (const std::string& head : heads) {
    INFO(head);
    const test::RawServer server(head + rest);
    Store store = StoreAt(server.port);
    const auto content = GetObject(store, "name");
    REQUIRE(!content);
    CHECK(content.error().kind == base::ErrorKind::kStoreUnavailable);
    CHECK_FALSE(ReadRow(store, "a").has_value());
    CHECK(Transact(store, Write("a", 0, "1")).status == Status::kUnknown);
    const auto put = PutObject(store, "name", "content");
    REQUIRE(!put);
    CHECK(put.error().kind == base::ErrorKind::kStoreResultUnknown);
  }
}

// Guards against the part of an object that is taken for the whole of it.
TEST_CASE("A reply that is cut off is not read") {
  using test::RawEnd;
  for (const RawEnd end : {RawEnd::kOrderly, RawEnd::kReset}) {
    for (const std::string rest :
         {"Content-Length: 9\r\n\r\npart",
          "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
          "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n"}) {
      const test::RawServer server(std::string("HTTP/1.1 200 OK\r\n") + rest,
                                   end);
      INFO(rest);
      Store store = StoreAt(server.port);
      CHECK_FALSE(GetObject(store, "name").has_value());
    }
  }
  for (const RawEnd end : {RawEnd::kOrderly, RawEnd::kReset}) {
    for (const char* status : {"200 OK", "409 Conflict"}) {
      const test::RawServer server(
          std::string("HTTP/1.1 ") + status + "\r\n\r\n" + kReplyBody, end);
      Store store = StoreAt(server.port);
      CHECK_FALSE(GetObject(store, "name").has_value());
      CHECK_FALSE(ReadRow(store, "a").has_value());
      CHECK(Transact(store, Write("a", 0, "1")).status == Status::kUnknown);
    }
  }
}

// KNOWN-RED.txt lists this test: the library ends a chunked body with success
// if anything but CRLF follows the data of a chunk.
TEST_CASE("A chunk that is cut off in its line end is not read" *
          doctest::skip()) {
  const test::RawServer server(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r");
  Store store = StoreAt(server.port);
  CHECK_FALSE(GetObject(store, "name").has_value());
}

// Guards against a refusal that is taken for a lost reply because it has no
// body.
TEST_CASE("A refusal needs no length") {
  const test::RawServer server("HTTP/1.1 503 Full\r\n\r\n");
  Store store = StoreAt(server.port);
  CHECK(Transact(store, Write("a", 0, "1")).status == Status::kNotSent);
}

}  // namespace
}  // namespace eelgrassbridge::store
