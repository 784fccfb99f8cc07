// Measures the time of single decisions and the memory of their state. Times
// depend on the machine; where there is a baseline, it is timed in the same
// run.
#include <malloc.h>

#include <chrono>
#include <functional>
#include <random>
#include <string>

#include "bench/requests/figure.hpp"
#include "bench/requests/scenarios.hpp"
#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/daemon/group_gate.hpp"
#include "eelgrassbridge/limits/account_limiter.hpp"
#include "eelgrassbridge/limits/request_id_record.hpp"
#include "eelgrassbridge/limits/target_limiter.hpp"
#include "eelgrassbridge/routing/poison_quarantine.hpp"
#include "eelgrassbridge/routing/target_choice.hpp"

namespace eelgrassbridge::bench {

namespace {

using base::TimePoint;

constexpr std::uint64_t kIterations = 200'000;
constexpr TimePoint kNow{base::seconds{1000}};

/// Returns the best mean of five runs, since the machine may be shared.
double MeasureNanoseconds(const std::function<void(std::uint64_t)>& decide,
                          std::uint64_t iterations = kIterations) {
  double best = 1e18;
  for (int run = 0; run < 5; ++run) {
    const auto started_at = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < iterations; ++i) {
      decide(i);
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - started_at;
    best = std::min(best, elapsed.count() / static_cast<double>(iterations));
  }
  return best;
}

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

void PrintTime(const std::string& name,
               double value,
               std::optional<double> baseline = std::nullopt) {
  // Decisions may add at most a few microseconds to a request: 2 us for each.
  Print({"decision_cost", name, "ns", value, baseline, 2000, Better::kLower});
}

void PrintBytes(const std::string& name, double bytes, double target) {
  Print({"decision_cost", name, "bytes", bytes, {}, target, Better::kLower});
}

routing::TargetTable MakeTable(std::uint32_t count) {
  routing::TargetTable table;
  std::vector<routing::TargetMember> members;
  for (std::uint32_t i = 0; i < count; ++i) {
    members.push_back(
        {base::DaemonId{i + 1}, routing::Locality::kDataCentre, true});
  }
  routing::SetMembers(table, members);
  return table;
}

// Uniform keys are the worst case, since each of them replaces an entry.
void MeasureKeyCount() {
  constexpr std::size_t kKeys = 4096;
  std::vector<std::string> keys;
  keys.reserve(kKeys);
  for (std::size_t i = 0; i < kKeys; ++i) {
    keys.push_back("key-" + std::to_string(i));
  }
  const std::string hot = "key-hot";
  volatile std::uint64_t sink = 0;
  const double hash = MeasureNanoseconds(
      [&](std::uint64_t i) { sink = base::Hash64(keys[i % keys.size()]); });
  daemon::GroupGate gate;
  PrintTime("count_key_uniform", MeasureNanoseconds([&](std::uint64_t i) {
              daemon::CountKey(gate, keys[i % keys.size()]);
            }),
            hash);
  daemon::TakeLoad(gate);
  PrintTime("count_key_half_hot", MeasureNanoseconds([&](std::uint64_t i) {
              daemon::CountKey(gate, i % 2 == 0 ? hot : keys[i % keys.size()]);
            }),
            hash);
  PrintBytes("busy_keys_of_a_group", sizeof(ownership::BusyKeys), 512);
}

void MeasureChoice() {
  volatile std::uint64_t sink = 0;
  std::uint32_t next = 0;
  const double robin = MeasureNanoseconds([&](std::uint64_t) {
    next = (next + 1) % 6;
    sink = next;
  });
  for (const std::uint32_t count : {6U, 1000U}) {
    const double before = HeapBytes();
    const routing::TargetTable table = MakeTable(count);
    const double bytes = (HeapBytes() - before) / count;
    PrintTime("choose_of_" + std::to_string(count),
              MeasureNanoseconds([&](std::uint64_t i) {
                sink = routing::ChooseTarget(table, i, {}, kNow)->value;
              }),
              robin);
    if (count > 100) {
      PrintBytes("target_state", bytes, 256);
    }
  }
}

void MeasureAdmission() {
  limits::TargetLimiter limiter = limits::MakeTargetLimiter({9, 120, 64, {}});
  PrintTime("admit_and_finish", MeasureNanoseconds([&](std::uint64_t) {
              const limits::Admission admission =
                  limits::Admit(limiter,
                                {catalogue::PriorityClass::kNormal, "yard",
                                 kNow + base::seconds{1}},
                                kNow);
              limits::Finish(limiter, limits::RunEnd::kAnswered,
                             base::milliseconds{1}, admission.generation);
            }));
}

void MeasureAccounts() {
  constexpr int kAccounts = 1000;
  const double before = HeapBytes();
  limits::AccountLimiter limiter;
  std::vector<std::string> names;
  for (int i = 0; i < kAccounts; ++i) {
    names.push_back(limits::AccountLimitName("yard " + std::to_string(i)));
    const limits::LimitRef ref{names.back(), 1000, 100};
    limits::AcquireAll(limiter, {&ref, 1}, kNow);
    limits::Release(limiter, {&ref, 1});
  }
  PrintBytes("account_limit", (HeapBytes() - before) / kAccounts, 512);
  PrintTime("take_and_release_account",
            MeasureNanoseconds([&](std::uint64_t i) {
              const limits::LimitRef ref{names[i % kAccounts], 1000, 100};
              const TimePoint now = kNow + base::Duration{i};
              if (!limits::AcquireAll(limiter, {&ref, 1}, now)) {
                limits::Release(limiter, {&ref, 1});
              }
            }));
}

/// Measures the once-per-second work for one limit with demand on many daemons.
void MeasureDemand() {
  limits::AccountLimiter limiter;
  limits::SetFleet(limiter, base::DaemonId{500}, 500, 1000, kNow);
  const std::string name = limits::AccountLimitName("yard");
  const limits::LimitRef ref{name, 1000, 100};
  limits::AcquireAll(limiter, {&ref, 1}, kNow);
  for (std::uint64_t peer = 1; peer <= 1000; ++peer) {
    const limits::Demand demand{name, 5};
    limits::MergeDemand(limiter, base::DaemonId{peer}, {&demand, 1}, kNow);
  }
  constexpr std::uint64_t kFewIterations = 2000;
  PrintTime("publish_demand_with_1000_peers",
            MeasureNanoseconds(
                [&](std::uint64_t) { limits::PublishDemand(limiter, kNow); },
                kFewIterations));
}

void MeasureRecord() {
  const double before = HeapBytes();
  limits::RequestIdRecord record =
      limits::MakeRecord(base::DaemonId{1}, 1, {4096, 4 << 20, 2});
  const base::Hash128Value fingerprint{1, 2};
  const auto run = [&](std::uint64_t) {
    const limits::RequestId id = limits::Issue(record);
    limits::Begin(record, id, fingerprint);
    limits::EndAnswered(record, id, {200, "", ""});
  };
  for (std::uint64_t i = 0; i < 4096; ++i) {
    run(i);
  }
  PrintBytes("request_id", (HeapBytes() - before) / 4096, 512);
  PrintTime("issue_begin_end_id", MeasureNanoseconds(run));
}

void MeasurePoison() {
  routing::PoisonQuarantine quarantine;
  const double before = HeapBytes();
  for (std::uint64_t i = 0; i < 4096; ++i) {
    routing::RecordTargetDeath(quarantine, {i, i}, i, kNow);
  }
  PrintBytes("suspect", (HeapBytes() - before) / 4096, 256);
  volatile bool sink = false;
  const std::string body(1000, 'x');
  PrintTime("fingerprint_and_verdict_of_1000_bytes",
            MeasureNanoseconds([&](std::uint64_t) {
              const auto fingerprint = routing::RequestFingerprint(
                  "booking", "plan", "/a/b", "key", body);
              sink = routing::VerdictOf(quarantine, fingerprint, kNow) ==
                     routing::PoisonVerdict::kNormal;
            }));
}

}  // namespace

void RunDecisionCost() {
  MeasureKeyCount();
  MeasureChoice();
  MeasureAdmission();
  MeasureAccounts();
  MeasureDemand();
  MeasureRecord();
  MeasurePoison();
}

}  // namespace eelgrassbridge::bench
