// The threads "store reader" and "store writer", with one blocking table call
// at a time each, joined to control by bounded rings.
#ifndef EELGRASSBRIDGE_DAEMON_STORE_THREAD_HPP
#define EELGRASSBRIDGE_DAEMON_STORE_THREAD_HPP

#include <atomic>
#include <cstdint>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "eelgrassbridge/base/ring.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/base/wake_event.hpp"
#include "eelgrassbridge/daemon/admin_messages.hpp"
#include "eelgrassbridge/store/store.hpp"

namespace eelgrassbridge::daemon {

/// @brief Rows of groups and members, and the newest catalogue.
struct ReadWholeTable {};

/// @brief These rows, many in one call.
struct ReadKeys {
  std::vector<std::string> keys;
};

/// @brief Everything written after a revision.
struct ReadTableChanges {
  std::uint64_t since = 0;
};

/// @brief Completes a snapshot of that revision: the changes since, and all
/// members, which a snapshot does not hold.
struct ReadSinceSnapshot {
  std::uint64_t revision = 0;
};

using StoreRead =
    std::variant<ReadWholeTable, ReadKeys, ReadTableChanges, ReadSinceSnapshot>;

struct StoreReadResult {
  StoreRead read;
  /// Right before the first call was sent.
  base::TimePoint sent_at;
  /// None: a call failed. Absent rows have version 0 or are left out.
  std::optional<store::ReadResult> rows;
};

/// @brief An operator's change, or the initial catalogue.
struct CatalogueSubmission {
  CatalogueChange change;
  /// Null for the initial catalogue, whose submission nobody waits for.
  std::shared_ptr<std::promise<ChangeResult>> answer;
};

using StoreWrite = std::variant<store::Transaction, CatalogueSubmission>;

struct TransactionEnd {
  std::string operation_id;
  store::TransactionResult result;
};

struct SubmissionEnd {
  ChangeResult result;
  std::shared_ptr<std::promise<ChangeResult>> answer;
};

using StoreWriteResult = std::variant<TransactionEnd, SubmissionEnd>;

struct StoreThreads {
  /// Requests that may wait; control keeps further ones until a later tick.
  static constexpr std::size_t kRingCapacity = 256;

  StoreThreads(store::Store read_store,
               store::Store write_store,
               base::WakeEvent& control_wake);
  ~StoreThreads();
  StoreThreads(const StoreThreads&) = delete;
  StoreThreads& operator=(const StoreThreads&) = delete;

  store::Store reader_store;
  store::Store writer_store;
  base::WakeEvent& wake_control;
  base::Ring<StoreRead> reads{kRingCapacity};
  base::Ring<StoreWrite> writes{kRingCapacity};
  /// Twice the requests: a result is never refused, since each request has a
  /// place for its result.
  base::Ring<StoreReadResult> read_results{2 * kRingCapacity};
  base::Ring<StoreWriteResult> write_results{2 * kRingCapacity};
  base::WakeEvent reader_wake;
  base::WakeEvent writer_wake;
  std::atomic<bool> stopping = false;
  std::thread reader;
  std::thread writer;
};

/// @brief Carries out one read with blocking calls.
StoreReadResult RunRead(store::Store& store, const StoreRead& read);

/// @brief Carries out one write with blocking calls.
StoreWriteResult RunWrite(store::Store& store, const StoreWrite& write);

void StartStoreThreads(StoreThreads& threads);

/// @brief Ends both threads after the call that each has under way.
void StopStoreThreads(StoreThreads& threads);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_STORE_THREAD_HPP
