// Guards against running a non-idempotent request twice, and against giving a
// caller the answer of another request.
#include "eelgrassbridge/limits/request_id_record.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

namespace eelgrassbridge::limits {

namespace {

using base::ErrorKind;

const base::Hash128Value kFingerprint{1, 2};

ErrorKind RefusalOf(const BeginResult& result) {
  REQUIRE(std::holds_alternative<RefuseId>(result));
  return std::get<RefuseId>(result).kind;
}

bool MustRun(const BeginResult& result) {
  return std::holds_alternative<RunRequest>(result);
}

/// A group that moves between owners, with the number of runs of each id.
struct Simulation {
  RequestIdRecord record;
  std::vector<RequestId> issued;
  std::vector<RequestId> running;
  std::map<std::string, int> runs;
  std::vector<IdGeneration> late_export;
};

void Send(Simulation& simulation, const RequestId& id) {
  const BeginResult peek = Peek(simulation.record, id, kFingerprint);
  const BeginResult result = Begin(simulation.record, id, kFingerprint);
  if (MustRun(result)) {
    RC_ASSERT(MustRun(peek));
    RC_ASSERT(++simulation.runs[ToString(id)] == 1);
    simulation.running.push_back(id);
  } else if (const auto* stored = std::get_if<StoredAnswer>(&result)) {
    RC_ASSERT(stored->body == ToString(id));
  }
}

void EndOne(Simulation& simulation, unsigned choice) {
  if (simulation.running.empty()) {
    return;
  }
  const std::size_t pick = choice / 3 % simulation.running.size();
  const RequestId id = simulation.running[pick];
  simulation.running.erase(simulation.running.begin() +
                           static_cast<std::ptrdiff_t>(pick));
  if (choice % 3 == 0) {
    EndAnswered(simulation.record, id, {200, "text/plain", ToString(id)});
  } else if (choice % 3 == 1) {
    EndUnknown(simulation.record, id, ErrorKind::kTargetLost);
  } else {
    EndNotRun(simulation.record, id);
    --simulation.runs[ToString(id)];
  }
}

/// A planned move whose export arrives in time, late or not at all. A late
/// export comes from an earlier move, so it skips an epoch and must be refused.
void Move(Simulation& simulation, unsigned choice) {
  const std::uint64_t epoch = simulation.record.current.epoch + 1;
  const std::vector<IdGeneration> generations = ExportRecord(simulation.record);
  RC_ASSERT(MustRun(Begin(simulation.record, Issue(simulation.record),
                          kFingerprint)) == false);
  simulation.running.clear();
  simulation.record =
      MakeRecord(base::DaemonId{choice + 1}, epoch, simulation.record.options);
  if (choice % 3 == 0) {
    RC_ASSERT(ImportRecord(simulation.record, generations));
    RC_ASSERT(!ImportRecord(simulation.record, generations));
  } else if (choice % 3 == 1 && !simulation.late_export.empty()) {
    RC_ASSERT(!ImportRecord(simulation.record, simulation.late_export));
  }
  simulation.late_export = generations;
}

}  // namespace

TEST_CASE(
    "an id runs at most once under any order of resends, moves and evictions") {
  CHECK(rc::check([](const std::vector<std::pair<unsigned, unsigned>>& steps) {
    Simulation simulation{
        MakeRecord(base::DaemonId{9}, 1, {3, 700, 2}), {}, {}, {}, {}};
    for (const auto& [kind, pick] : steps) {
      // Moves are rare, so that the record fills up between them.
      const unsigned choice = kind % 32;
      if (choice < 6 || simulation.issued.empty()) {
        simulation.issued.push_back(Issue(simulation.record));
      } else if (choice < 20) {
        Send(simulation, simulation.issued[pick % simulation.issued.size()]);
      } else if (choice < 31) {
        EndOne(simulation, pick);
      } else {
        Move(simulation, pick);
      }
      RC_ASSERT(simulation.record.ids <= 3U);
      RC_ASSERT(simulation.record.bytes <= 700U);
    }
  }));
}

TEST_CASE("a resend gets the stored answer, also after a planned move") {
  RequestIdRecord record = MakeRecord(base::DaemonId{1}, 7);
  const RequestId done = Issue(record);
  const RequestId unused = Issue(record);
  const RequestId cut = Issue(record);
  REQUIRE(MustRun(Begin(record, done, kFingerprint)));
  REQUIRE(MustRun(Begin(record, cut, kFingerprint)));
  CHECK(RefusalOf(Begin(record, done, kFingerprint)) ==
        ErrorKind::kDuplicateInProgress);
  EndAnswered(record, done, {201, "text/plain", "claimed"});
  RequestIdRecord next = MakeRecord(base::DaemonId{2}, 8);
  REQUIRE(ImportRecord(next, ExportRecord(record)));
  CHECK(std::get<StoredAnswer>(Begin(next, done, kFingerprint)).body ==
        "claimed");
  CHECK(RefusalOf(Begin(next, cut, kFingerprint)) == ErrorKind::kTargetTimeout);
  CHECK(MustRun(Begin(next, unused, kFingerprint)));
}

TEST_CASE("ids that may have run elsewhere are refused") {
  RequestIdRecord record = MakeRecord(base::DaemonId{1}, 7);
  const RequestId id = Issue(record);
  RequestIdRecord taken_over = MakeRecord(base::DaemonId{2}, 8);
  CHECK(RefusalOf(Begin(taken_over, id, kFingerprint)) ==
        ErrorKind::kIdFromOlderEpoch);
  // The group of a split-off hot key can have its parent's owner and epoch.
  RequestIdRecord carved = MakeRecord(base::DaemonId{1}, 7);
  Issue(carved);
  CHECK(RefusalOf(Begin(carved, id, kFingerprint)) ==
        ErrorKind::kIdFromOlderEpoch);
}

TEST_CASE("an id with a different request or random digits is refused") {
  RequestIdRecord record = MakeRecord(base::DaemonId{1}, 7);
  const RequestId id = Issue(record);
  REQUIRE(MustRun(Begin(record, id, kFingerprint)));
  EndAnswered(record, id, {});
  CHECK(RefusalOf(Begin(record, id, {3, 4})) == ErrorKind::kBadRequest);
  RequestId guessed = id;
  guessed.random = base::RandomHex128();
  CHECK(RefusalOf(Begin(record, guessed, kFingerprint)) ==
        ErrorKind::kBadRequest);
}

TEST_CASE("a record full of requests in progress refuses further ones") {
  RequestIdRecord record = MakeRecord(base::DaemonId{1}, 7, {2, 10000, 1});
  const RequestId first = Issue(record);
  REQUIRE(MustRun(Begin(record, first, kFingerprint)));
  REQUIRE(MustRun(Begin(record, Issue(record), kFingerprint)));
  CHECK(RefusalOf(Begin(record, Issue(record), kFingerprint)) ==
        ErrorKind::kIdRecordFull);
}

TEST_CASE(
    "ids round-trip through their text form; malformed ones are rejected") {
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
