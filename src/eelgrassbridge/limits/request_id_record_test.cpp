// Guards against running a non-idempotent request twice, and against giving a
// caller the answer of another request.
#include "eelgrassbridge/limits/request_id_record.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

namespace eelgrassbridge::limits {

namespace {

using base::ErrorKind;

const base::Hash128Value kPrint{1, 2};

ErrorKind RefusalOf(const BeginResult& result) {
  REQUIRE(std::holds_alternative<RefuseId>(result));
  return std::get<RefuseId>(result).kind;
}

bool Runs(const BeginResult& result) {
  return std::holds_alternative<RunIt>(result);
}

/// A group that moves between owners, and a count of the runs of each id.
struct World {
  RequestIdRecord record;
  std::vector<RequestId> issued;
  std::vector<RequestId> running;
  std::map<std::string, int> runs;
  std::vector<IdGeneration> late_export;
};

void Send(World& world, const RequestId& id) {
  const BeginResult peek = Peek(world.record, id, kPrint);
  const BeginResult result = Begin(world.record, id, kPrint);
  if (Runs(result)) {
    RC_ASSERT(Runs(peek));
    RC_ASSERT(++world.runs[ToString(id)] == 1);
    world.running.push_back(id);
  } else if (const auto* kept = std::get_if<KeptAnswer>(&result)) {
    RC_ASSERT(kept->body == ToString(id));
  }
}

void EndOne(World& world, unsigned how) {
  if (world.running.empty()) {
    return;
  }
  const std::size_t pick = how / 3 % world.running.size();
  const RequestId id = world.running[pick];
  world.running.erase(world.running.begin() +
                      static_cast<std::ptrdiff_t>(pick));
  if (how % 3 == 0) {
    EndAnswered(world.record, id, {200, "text/plain", ToString(id)});
  } else if (how % 3 == 1) {
    EndUnknown(world.record, id, ErrorKind::kTargetLost);
  } else {
    EndNotRun(world.record, id);
    --world.runs[ToString(id)];
  }
}

/// A move that is planned with its export in time, late or lost, or a
/// take-over, which skips an epoch for late exports.
void Move(World& world, unsigned how) {
  const std::uint64_t epoch = world.record.current.epoch + 1;
  const std::vector<IdGeneration> generations = ExportRecord(world.record);
  RC_ASSERT(Runs(Begin(world.record, Issue(world.record), kPrint)) == false);
  world.running.clear();
  world.record =
      MakeRecord(base::DaemonId{how + 1}, epoch, world.record.options);
  if (how % 3 == 0) {
    RC_ASSERT(ImportRecord(world.record, generations));
    RC_ASSERT(!ImportRecord(world.record, generations));
  } else if (how % 3 == 1 && !world.late_export.empty()) {
    RC_ASSERT(!ImportRecord(world.record, world.late_export));
  }
  world.late_export = generations;
}

}  // namespace

TEST_CASE("no order of resends, moves and overflow runs an id twice") {
  CHECK(rc::check([](const std::vector<std::pair<unsigned, unsigned>>& steps) {
    World world{MakeRecord(base::DaemonId{9}, 1, {3, 700, 2}), {}, {}, {}, {}};
    for (const auto& [kind, pick] : steps) {
      // Moves are rare, so that a record overflows between them.
      const unsigned choice = kind % 32;
      if (choice < 6 || world.issued.empty()) {
        world.issued.push_back(Issue(world.record));
      } else if (choice < 20) {
        Send(world, world.issued[pick % world.issued.size()]);
      } else if (choice < 31) {
        EndOne(world, pick);
      } else {
        Move(world, pick);
      }
      RC_ASSERT(world.record.ids <= 3U);
      RC_ASSERT(world.record.bytes <= 700U);
    }
  }));
}

TEST_CASE("a resend gets the kept answer, also after a planned move") {
  RequestIdRecord record = MakeRecord(base::DaemonId{1}, 7);
  const RequestId done = Issue(record);
  const RequestId unused = Issue(record);
  const RequestId cut = Issue(record);
  REQUIRE(Runs(Begin(record, done, kPrint)));
  REQUIRE(Runs(Begin(record, cut, kPrint)));
  CHECK(RefusalOf(Begin(record, done, kPrint)) ==
        ErrorKind::kDuplicateInProgress);
  EndAnswered(record, done, {201, "text/plain", "claimed"});
  RequestIdRecord next = MakeRecord(base::DaemonId{2}, 8);
  REQUIRE(ImportRecord(next, ExportRecord(record)));
  CHECK(std::get<KeptAnswer>(Begin(next, done, kPrint)).body == "claimed");
  CHECK(RefusalOf(Begin(next, cut, kPrint)) == ErrorKind::kTargetTimeout);
  CHECK(Runs(Begin(next, unused, kPrint)));
}

TEST_CASE("ids that cannot be proved new are refused as unknown") {
  RequestIdRecord record = MakeRecord(base::DaemonId{1}, 7);
  const RequestId id = Issue(record);
  RequestIdRecord taken_over = MakeRecord(base::DaemonId{2}, 8);
  CHECK(RefusalOf(Begin(taken_over, id, kPrint)) ==
        ErrorKind::kIdFromOlderEpoch);
  // A hot key carved out can have the same owner and epoch as its parent.
  RequestIdRecord carved = MakeRecord(base::DaemonId{1}, 7);
  Issue(carved);
  CHECK(RefusalOf(Begin(carved, id, kPrint)) == ErrorKind::kIdFromOlderEpoch);
}

TEST_CASE("an id with another request or guessed random digits is refused") {
  RequestIdRecord record = MakeRecord(base::DaemonId{1}, 7);
  const RequestId id = Issue(record);
  REQUIRE(Runs(Begin(record, id, kPrint)));
  EndAnswered(record, id, {});
  CHECK(RefusalOf(Begin(record, id, {3, 4})) == ErrorKind::kBadRequest);
  RequestId guessed = id;
  guessed.random = base::RandomHex128();
  CHECK(RefusalOf(Begin(record, guessed, kPrint)) == ErrorKind::kBadRequest);
}

TEST_CASE("a record full of requests in progress refuses as not run") {
  RequestIdRecord record = MakeRecord(base::DaemonId{1}, 7, {2, 10000, 1});
  const RequestId first = Issue(record);
  REQUIRE(Runs(Begin(record, first, kPrint)));
  REQUIRE(Runs(Begin(record, Issue(record), kPrint)));
  CHECK(RefusalOf(Begin(record, Issue(record), kPrint)) ==
        ErrorKind::kIdRecordFull);
}

TEST_CASE("ids survive their text form and malformed ones are refused") {
  RequestIdRecord record = MakeRecord(base::DaemonId{0xabc}, 12);
  const RequestId id = Issue(record);
  CHECK(ParseRequestId(ToString(id)) == id);
  const std::string good = "0000000000000abc-1-2-" + std::string(32, 'a');
  REQUIRE(ParseRequestId(good).has_value());
  for (const std::string& text :
       {std::string(), good + "a", good.substr(1), "x" + good.substr(1),
        "0000000000000abc-01-2-" + std::string(32, 'a'),
        "0000000000000abc-1--" + std::string(32, 'a'),
        "0000000000000abc-1-2-" + std::string(32, 'A')}) {
    CHECK_FALSE(ParseRequestId(text).has_value());
  }
}

}  // namespace eelgrassbridge::limits
