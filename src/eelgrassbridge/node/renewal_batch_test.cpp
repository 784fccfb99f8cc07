// Tests of the batches of lease renewals at several sizes.
#include "eelgrassbridge/node/renewal_batch.hpp"

#include <doctest/doctest.h>

#include "eelgrassbridge/node/rows.hpp"

namespace eelgrassbridge::node {
namespace {

Renewal RenewalOf(const std::string& service,
                  std::size_t number,
                  std::uint64_t version = 5) {
  return {LeaseRow(service, 1, "10.0.0.1:" + std::to_string(number)), version,
          "lease " + std::to_string(number)};
}

std::vector<Renewal> Renewals(std::size_t count) {
  std::vector<Renewal> renewals;
  for (std::size_t i = 0; i < count; ++i) {
    renewals.push_back(RenewalOf("keys", i));
  }
  return renewals;
}

TEST_CASE("the transactions of a data centre's owners stay few and in bounds") {
  // Guards against one call to the store for each owner, and against a
  // transaction that the store refuses for its size.
  for (const std::size_t owners :
       {std::size_t{30}, std::size_t{300}, std::size_t{3000}}) {
    std::vector<Renewal> waiting = Renewals(owners);
    std::size_t transactions = 0;
    while (!waiting.empty()) {
      const auto chosen = ChooseBatch(waiting);
      REQUIRE(!chosen.empty());
      std::vector<Renewal> batch;
      batch.reserve(chosen.size());
      for (const std::size_t index : chosen) {
        batch.push_back(waiting[index]);
      }
      const RowTransaction joined = JoinRenewals(batch);
      CHECK(joined.conditions.size() + joined.writes.size() <= 100);
      waiting.erase(
          waiting.begin(),
          waiting.begin() + static_cast<std::ptrdiff_t>(batch.size()));
      ++transactions;
    }
    CHECK(transactions == (owners + 49) / 50);
  }
}

TEST_CASE("a batch has one renewal a row and one partition") {
  // Guards against a transaction that the store refuses: a daemon that sends
  // its renewal again, and owners of two services beside one delegate.
  const std::vector<Renewal> waiting = {
      RenewalOf("keys", 1), RenewalOf("keys", 2), RenewalOf("keys", 1, 6),
      RenewalOf("other", 3), RenewalOf("keys", 4)};
  CHECK(ChooseBatch(waiting) == std::vector<std::size_t>{0, 1, 4});
  CHECK(ChooseBatch({}).empty());
}

TEST_CASE("each renewal of a refused batch learns its current row") {
  // Guards against a lost lease that is taken for renewed, or a lease that is
  // given up because of another daemon's row.
  const auto batch = Renewals(3);
  const std::vector<StoredRow> rows = {{batch[0].row, "a", 5, false},
                                       {batch[1].row, "b", 9, false}};
  CHECK(CurrentRowOf(batch[0], rows).version == 5);
  CHECK(CurrentRowOf(batch[1], rows).version == 9);
  CHECK(CurrentRowOf(batch[2], rows).version == 0);
  CHECK(CurrentRowOf(batch[2], rows).name == batch[2].row);
}

TEST_CASE("a failed renewal is repeated sooner the less time is left") {
  // Guards against a lease that ends between two attempts, and against calls of
  // all owners four times a second while the store is away.
  CHECK(RenewRetryPause(base::milliseconds{5600}) == base::milliseconds{700});
  CHECK(RenewRetryPause(base::milliseconds{1000}) == base::milliseconds{250});
  CHECK(RenewRetryPause(base::milliseconds{-1}) == base::milliseconds{500});
  CHECK(MayJoinBatch(base::milliseconds{3900}));
  CHECK(!MayJoinBatch(base::milliseconds{2900}));
}

TEST_CASE("renewals and outcomes are decoded as they were encoded") {
  const Renewal renewal = RenewalOf("keys", 1);
  const auto decoded = DecodeRenewal(EncodeRenewal(renewal));
  REQUIRE(decoded);
  CHECK(decoded.value() == renewal);
  CommitResult outcome;
  outcome.current_rows.push_back({renewal.row, "x\xff", 9, false});
  outcome.state = {12, base::milliseconds{34}, 2};
  const auto copy = DecodeOutcome(EncodeOutcome(outcome));
  REQUIRE(copy);
  CHECK(!copy.value().committed);
  REQUIRE(copy.value().current_rows.size() == 1);
  CHECK(copy.value().current_rows[0].value == "x\xff");
  CHECK(copy.value().state.version == 12);
  CHECK(copy.value().state.time == base::milliseconds{34});
  CHECK(copy.value().state.era == 2);
}

TEST_CASE("malformed renewals and outcomes are rejected") {
  // Guards against a daemon that ends on a malformed message.
  const std::string renewal = EncodeRenewal(RenewalOf("keys", 1));
  for (std::size_t size = 0; size < renewal.size(); ++size) {
    CHECK(!DecodeRenewal(renewal.substr(0, size)));
  }
  const std::string outcome = EncodeOutcome({});
  for (std::size_t size = 0; size < outcome.size(); ++size) {
    CHECK(!DecodeOutcome(outcome.substr(0, size)));
  }
  CHECK(!DecodeRenewal("garbage"));
  CHECK(!DecodeOutcome(renewal));
  CHECK(!DecodeRenewal(outcome));
}

}  // namespace
}  // namespace eelgrassbridge::node
