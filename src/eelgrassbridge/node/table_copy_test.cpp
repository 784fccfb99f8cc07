// Tests of the rows that a relay keeps for other daemons.
#include "eelgrassbridge/node/table_copy.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::node {
namespace {

StoredRow Row(const std::string& key,
              std::uint64_t version,
              bool removed = false) {
  return {{"table", "part", key}, "value-" + key, version, removed};
}

RowPage Page(std::uint64_t version, std::vector<StoredRow> rows) {
  RowPage page;
  page.state.version = version;
  page.rows = std::move(rows);
  return page;
}

TEST_CASE("a copy hands on each change after a version once, in order") {
  // Guards against followers that miss a change or apply an older one last.
  TableCopy copy;
  RestartCopy(copy, 10);
  KeepChanges(copy, Page(14, {Row("b", 12), Row("a", 14)}));
  KeepChanges(copy, Page(17, {Row("b", 16)}));
  const RowPage all = ChangesAfter(copy, 10);
  REQUIRE(all.rows.size() == 2);
  CHECK(all.rows[0].version == 14);
  CHECK(all.rows[1].version == 16);
  CHECK(all.state.version == 17);
  CHECK(ChangesAfter(copy, 14).rows.size() == 1);
  CHECK(ChangesAfter(copy, 16).rows.empty());
  CHECK(copy.latest_change == 16);
}

TEST_CASE("a removal is handed on and an older row does not undo it") {
  // Guards against a member that has left and is used again, because a page
  // with its former row arrives after the removal.
  TableCopy copy;
  RestartCopy(copy, 10);
  KeepChanges(copy, Page(13, {Row("a", 13, true)}));
  KeepChanges(copy, Page(13, {Row("a", 11)}));
  const RowPage page = ChangesAfter(copy, 10);
  REQUIRE(page.rows.size() == 1);
  CHECK(page.rows[0].removed);
  CHECK(page.rows[0].version == 13);
}

TEST_CASE("a copy refuses followers that are behind its beginning") {
  // Guards against removals that a follower never hears of: they were made
  // before the relay began its copy.
  TableCopy copy;
  CHECK(!HasChangesSince(copy, 0));
  RestartCopy(copy, 10);
  KeepChanges(copy, Page(20, {Row("a", 15)}));
  CHECK(!HasChangesSince(copy, 9));
  CHECK(HasChangesSince(copy, 10));
  CHECK(HasChangesSince(copy, 30));
}

TEST_CASE("a complete read replaces all rows of the copy") {
  // Guards against rows of a former era of the store.
  TableCopy copy;
  RestartCopy(copy, 10);
  KeepChanges(copy, Page(20, {Row("old", 15)}));
  RestartCopy(copy, Page(5, {Row("new", 4)}));
  const RowPage page = ChangesAfter(copy, 0);
  REQUIRE(page.rows.size() == 1);
  CHECK(page.rows[0].name.key == "new");
  CHECK(copy.version == 5);
  CHECK(copy.complete_at == 5);
}

}  // namespace
}  // namespace eelgrassbridge::node
