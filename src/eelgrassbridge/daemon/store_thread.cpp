// Executes blocking table calls on the store threads.
#include "eelgrassbridge/daemon/store_thread.hpp"

#include <pthread.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "eelgrassbridge/daemon/catalogue_store.hpp"
#include "eelgrassbridge/ownership/group_row.hpp"

namespace eelgrassbridge::daemon {

namespace {

constexpr base::Duration kIdleWait = base::seconds{1};
constexpr std::string_view kMemberPrefix = "member/";

std::optional<store::ReadResult> ReadWhole(store::Store& store) {
  auto groups = store::ReadRows(store, ownership::kGroupRowPrefix);
  if (!groups) {
    return std::nullopt;
  }
  auto members = store::ReadRows(store, kMemberPrefix);
  if (!members) {
    return std::nullopt;
  }
  auto catalogue = store::ReadRow(store, kCatalogueKey);
  if (!catalogue) {
    return std::nullopt;
  }
  store::ReadResult whole = std::move(groups).value();
  std::ranges::move(members.value().rows, std::back_inserter(whole.rows));
  if (catalogue.value().version != 0) {
    whole.rows.push_back(std::move(catalogue).value());
  }
  return whole;
}

std::optional<store::ReadResult> ReadSince(store::Store& store,
                                           std::uint64_t revision) {
  auto changes = store::ReadChanges(store, revision);
  if (!changes) {
    return std::nullopt;
  }
  auto members = store::ReadRows(store, kMemberPrefix);
  if (!members) {
    return std::nullopt;
  }
  store::ReadResult all = std::move(changes).value();
  std::ranges::move(members.value().rows, std::back_inserter(all.rows));
  return all;
}

template <typename Request, typename Handle>
void RunLoop(const std::atomic<bool>& stopping,
             base::WakeEvent& wake,
             base::Ring<Request>& requests,
             const Handle& handle) {
  while (!stopping.load()) {
    if (auto request = requests.Pop()) {
      handle(*request);
    } else {
      base::WaitFor(wake, kIdleWait);
    }
  }
}

}  // namespace

StoreThreads::StoreThreads(store::Store read_store,
                           store::Store write_store,
                           base::WakeEvent& control_wake)
    : reader_store(std::move(read_store)),
      writer_store(std::move(write_store)),
      wake_control(control_wake) {}

StoreThreads::~StoreThreads() {
  StopStoreThreads(*this);
}

StoreReadResult RunRead(store::Store& store, const StoreRead& read) {
  StoreReadResult result{read, base::BootClock::now(), std::nullopt};
  if (std::holds_alternative<ReadWholeTable>(read)) {
    result.rows = ReadWhole(store);
  } else if (const auto* const keys = std::get_if<ReadKeys>(&read)) {
    auto rows = store::ReadKeys(store, keys->keys);
    if (rows) {
      result.rows = std::move(rows).value();
    }
  } else if (const auto* const since = std::get_if<ReadSinceSnapshot>(&read)) {
    result.rows = ReadSince(store, since->revision);
  } else {
    auto changes =
        store::ReadChanges(store, std::get<ReadTableChanges>(read).since);
    if (changes) {
      result.rows = std::move(changes).value();
    }
  }
  return result;
}

StoreWriteResult RunWrite(store::Store& store, const StoreWrite& write) {
  if (const auto* const transaction = std::get_if<store::Transaction>(&write)) {
    return TransactionCompletion{transaction->operation_id,
                                 store::Transact(store, *transaction)};
  }
  const auto& submission = std::get<CatalogueSubmission>(write);
  return SubmissionCompletion{SubmitCatalogue(store, submission.change),
                              submission.answer};
}

void StartStoreThreads(StoreThreads& threads) {
  threads.reader = std::thread([&threads] {
    pthread_setname_np(pthread_self(), "store-reader");
    RunLoop(threads.stopping, threads.reader_wake, threads.reads,
            [&](const StoreRead& read) {
              threads.read_results.Push(RunRead(threads.reader_store, read));
              base::Signal(threads.wake_control);
            });
  });
  threads.writer = std::thread([&threads] {
    pthread_setname_np(pthread_self(), "store-writer");
    RunLoop(threads.stopping, threads.writer_wake, threads.writes,
            [&](const StoreWrite& write) {
              threads.write_results.Push(RunWrite(threads.writer_store, write));
              base::Signal(threads.wake_control);
            });
  });
}

void StopStoreThreads(StoreThreads& threads) {
  threads.stopping.store(true);
  base::Signal(threads.reader_wake);
  base::Signal(threads.writer_wake);
  if (threads.reader.joinable()) {
    threads.reader.join();
  }
  if (threads.writer.joinable()) {
    threads.writer.join();
  }
}

}  // namespace eelgrassbridge::daemon
