// Stand-in for the platform's table service and object store.
//
// Follows docs/design.md section 8. Enforces the platform's rate limits and
// simulates faults that can be set at run time.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cxxopts.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/store/memory_table.hpp"
#include "eelgrassbridge/store/store.hpp"
#include "eelgrassbridge/store/table_json.hpp"
#include "serve.hpp"

namespace eelgrassbridge::standins {
namespace {

using nlohmann::json;

constexpr const char* kJsonType = "application/json";
/// A read by key uses one read of the limit per 100 keys, rounded up, since
/// each key is looked up separately. A page of adjacent rows uses one.
constexpr std::uint64_t kKeysPerRead = 100;

/// @brief Rate limit with fixed windows of one second.
struct RateLimit {
  /// Per second.
  std::uint64_t limit = 0;
  std::int64_t window = 0;
  std::uint64_t used = 0;
};

struct Faults {
  bool down = false;
  std::int64_t delay_ms = 0;
  double lose_reply_probability = 0;
  double late_write_probability = 0;
  std::int64_t late_write_ms = 0;
};

struct Table {
  store::MemoryTable rows;
  std::mutex mutex;
  RateLimit read_limit;
  RateLimit write_limit;
  Faults faults;
  std::mt19937_64 random{20261204};
  std::atomic<std::uint64_t> reads = 0;
  std::atomic<std::uint64_t> writes = 0;
  std::atomic<std::uint64_t> rows_read = 0;
  std::atomic<std::uint64_t> refused_reads = 0;
  std::atomic<std::uint64_t> refused_writes = 0;
};

// The caller holds the table's mutex. Returns false if the limit is exceeded.
bool Consume(RateLimit& limit, std::uint64_t amount) {
  const std::int64_t now = UnixMicroseconds() / 1'000'000;
  if (limit.window != now) {
    limit.window = now;
    limit.used = 0;
  }
  if (limit.used + amount > limit.limit) {
    return false;
  }
  limit.used += amount;
  return true;
}

Faults CurrentFaults(Table& table) {
  const std::scoped_lock lock(table.mutex);
  return table.faults;
}

bool Draw(Table& table, double probability) {
  const std::scoped_lock lock(table.mutex);
  return std::bernoulli_distribution(probability)(table.random);
}

void Refuse(httplib::Response& response) {
  response.status = 503;
  response.set_content(R"({"error":"unavailable"})", kJsonType);
}

// Applies the delay, outage and rate limit. Returns false, after responding, if
// the request is refused.
bool Admit(Table& table,
           RateLimit& limit,
           std::uint64_t amount,
           std::atomic<std::uint64_t>& refused,
           httplib::Response& response) {
  const Faults faults = CurrentFaults(table);
  if (faults.delay_ms > 0) {
    std::this_thread::sleep_for(base::milliseconds{faults.delay_ms});
  }
  bool admitted = !faults.down;
  if (admitted) {
    const std::scoped_lock lock(table.mutex);
    admitted = Consume(limit, amount);
  }
  if (!admitted) {
    refused += amount;
    Refuse(response);
  }
  return admitted;
}

void AnswerRead(Table& table,
                const store::RowsPage& page,
                httplib::Response& response) {
  ++table.reads;
  table.rows_read += page.read.rows.size();
  response.set_content(store::RowsToJson(page), kJsonType);
}

void HandleRows(Table& table,
                const httplib::Request& request,
                httplib::Response& response) {
  if (!Admit(table, table.read_limit, 1, table.refused_reads, response)) {
    return;
  }
  const std::string prefix = request.get_param_value("prefix");
  const std::string after = request.get_param_value("after");
  store::RowRange range{.prefix = prefix, .after = after};
  if (request.has_param("limit")) {
    range.limit = std::stoul(request.get_param_value("limit"));
  }
  AnswerRead(table, store::FindRows(table.rows, range), response);
}

void HandleKeys(Table& table,
                const httplib::Request& request,
                httplib::Response& response) {
  const auto keys = store::ParseKeys(request.body);
  if (!keys || keys->size() > store::kMaxKeysPerRead) {
    response.status = 400;
    return;
  }
  const std::uint64_t cost = std::max<std::uint64_t>(
      1, (keys->size() + kKeysPerRead - 1) / kKeysPerRead);
  if (!Admit(table, table.read_limit, cost, table.refused_reads, response)) {
    return;
  }
  table.reads += cost - 1;
  AnswerRead(table, {.read = store::FindKeys(table.rows, *keys)}, response);
}

void HandleChanges(Table& table,
                   const httplib::Request& request,
                   httplib::Response& response) {
  if (!Admit(table, table.read_limit, 1, table.refused_reads, response)) {
    return;
  }
  const auto since = std::stoull(request.get_param_value("since"));
  AnswerRead(table, {.read = store::FindChanges(table.rows, since)}, response);
}

void ApplyLate(Table& table, store::Transaction transaction, std::int64_t ms) {
  std::thread([&table, transaction = std::move(transaction), ms] {
    std::this_thread::sleep_for(base::milliseconds{ms});
    store::ApplyTransaction(table.rows, transaction);
  }).detach();
}

void HandleTransact(Table& table,
                    const httplib::Request& request,
                    httplib::Response& response) {
  auto transaction = store::ParseTransaction(request.body);
  if (!transaction) {
    response.status = 400;
    return;
  }
  const std::uint64_t rows = transaction->writes.size();
  if (!Admit(table, table.write_limit, rows, table.refused_writes, response)) {
    return;
  }
  table.writes += rows;
  const Faults faults = CurrentFaults(table);
  if (Draw(table, faults.late_write_probability)) {
    ApplyLate(table, std::move(*transaction), faults.late_write_ms);
    LoseReply(response);
    return;
  }
  const auto result = store::ApplyTransaction(table.rows, *transaction);
  if (Draw(table, faults.lose_reply_probability)) {
    LoseReply(response);
    return;
  }
  if (result.status == store::TransactionResult::Status::kConflict) {
    response.status = 409;
  }
  response.set_content(store::ResultToJson(result), kJsonType);
}

void HandleObjects(Table& table, httplib::Server& server) {
  server.Get(R"(/objects/(.+))", [&](const auto& request, auto& response) {
    if (!Admit(table, table.read_limit, 1, table.refused_reads, response)) {
      return;
    }
    ++table.reads;
    if (auto content =
            store::FindObject(table.rows, request.matches[1].str())) {
      response.set_content(*content, "application/octet-stream");
    } else {
      response.status = 404;
    }
  });
  server.Put(R"(/objects/(.+))", [&](const auto& request, auto& response) {
    if (!Admit(table, table.write_limit, 1, table.refused_writes, response)) {
      return;
    }
    ++table.writes;
    store::SetObject(table.rows, request.matches[1].str(), request.body);
    response.set_content("{}", kJsonType);
  });
}

// Sets all faults; fields that are absent are reset to their defaults.
void HandleFaults(Table& table,
                  const httplib::Request& request,
                  httplib::Response& response) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    response.status = 400;
    return;
  }
  const std::scoped_lock lock(table.mutex);
  table.faults = {
      .down = body.value("down", false),
      .delay_ms = body.value("delay_ms", std::int64_t{0}),
      .lose_reply_probability = body.value("lose_reply_probability", 0.0),
      .late_write_probability = body.value("late_write_probability", 0.0),
      .late_write_ms = body.value("late_write_ms", std::int64_t{0})};
  response.set_content("{}", kJsonType);
}

json CountsJson(const Table& table) {
  return {{"reads", table.reads.load()},
          {"writes", table.writes.load()},
          {"rows_read", table.rows_read.load()},
          {"refused_reads", table.refused_reads.load()},
          {"refused_writes", table.refused_writes.load()}};
}

int Run(int count, const char* const* arguments) {
  cxxopts::Options options("standin_table", "Table service and object store.");
  // Read as text: GCC 12 reports a false positive of -Wrestrict in the
  // library's number parser (GCC bug 105329).
  const auto number = [](const char* value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  options.add_options()("port", "Port", number("0"))(
      "workers", "Limit on concurrent connections", number("256"))(
      "writes-per-second", "Rate limit of written rows", number("300"))(
      "reads-per-second", "Rate limit of read requests", number("2000"));
  const auto parsed = options.parse(count, arguments);
  static Table table;
  const auto value_of = [&](const char* name) {
    return std::stoul(parsed[name].as<std::string>());
  };
  table.write_limit.limit = value_of("writes-per-second");
  table.read_limit.limit = value_of("reads-per-second");
  StandinServer server;
  server.Get("/table/rows", [](const auto& request, auto& response) {
    HandleRows(table, request, response);
  });
  server.Get("/table/changes", [](const auto& request, auto& response) {
    HandleChanges(table, request, response);
  });
  server.Post("/table/read", [](const auto& request, auto& response) {
    HandleKeys(table, request, response);
  });
  server.Post("/table/transact", [](const auto& request, auto& response) {
    HandleTransact(table, request, response);
  });
  HandleObjects(table, server);
  server.Post("/admin/faults", [](const auto& request, auto& response) {
    HandleFaults(table, request, response);
  });
  server.Get("/admin/counts", [](const auto&, auto& response) {
    response.set_content(CountsJson(table).dump(), kJsonType);
  });
  return Serve(server, {.port = static_cast<int>(value_of("port")),
                        .workers = value_of("workers")});
}

}  // namespace
}  // namespace eelgrassbridge::standins

int main(int count, char** arguments) {
  return eelgrassbridge::standins::Run(count, arguments);
}
