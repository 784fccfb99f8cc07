// Tests the calls of the store threads to the table.
#include "eelgrassbridge/daemon/store_thread.hpp"

#include <doctest/doctest.h>

#include "eelgrassbridge/store/table_json.hpp"
#include "http_store_test_support.hpp"

namespace eelgrassbridge::daemon {

// One call for each row would make a take-over of several groups wait for the
// sum of all calls, which is long with a slow table.
TEST_CASE("the reader reads rows of many groups in one call") {
  store::MemoryTable table;
  store::ApplyTransaction(table, {"op", {{"group/listing/sur/3", 0, "row"}}});
  std::atomic<int> calls = 0;
  HttpStoreFixture fixture;
  fixture.server.Post("/table/read", [&](const httplib::Request& request,
                                         httplib::Response& response) {
    ++calls;
    const auto keys = store::ParseKeys(request.body).value();
    response.set_content(
        store::RowsToJson({.read = store::FindKeys(table, keys)}),
        "application/json");
  });
  base::WakeEvent wake;
  StoreThreads threads(fixture.MakeStore(), fixture.MakeStore(), wake);
  ReadKeys read;
  for (int index = 0; index < 40; ++index) {
    read.keys.push_back("group/listing/sur/" + std::to_string(index));
  }
  REQUIRE(threads.reads.Push(read));
  StartStoreThreads(threads);
  std::optional<StoreReadResult> result;
  while (!(result = threads.read_results.Pop())) {
    base::WaitFor(wake, base::milliseconds{100});
  }
  StopStoreThreads(threads);
  CHECK(calls == 1);
  REQUIRE(result->rows);
  REQUIRE(result->rows->rows.size() == 40);
  CHECK(result->rows->rows[3].value == "row");
  CHECK(result->rows->rows[4].version == 0);
}

}  // namespace eelgrassbridge::daemon
