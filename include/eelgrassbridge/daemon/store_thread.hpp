// The threads "store-reader" and "store-writer". Each makes one blocking table
// call at a time and is connected to the control thread by bounded ring
// buffers.
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

/// @brief Reads all rows of groups and members, and the current catalogue.
struct ReadWholeTable {};

/// @brief Reads the rows of the given keys, many of them in one call.
struct ReadKeys {
  std::vector<std::string> keys;
};

/// @brief Reads all rows written after a revision.
struct ReadTableChanges {
  std::uint64_t since = 0;
};

/// @brief Reads what completes a snapshot of the given revision: the changes
/// since, and all members, which a snapshot does not contain.
struct ReadSinceSnapshot {
  std::uint64_t revision = 0;
};

using StoreRead =
    std::variant<ReadWholeTable, ReadKeys, ReadTableChanges, ReadSinceSnapshot>;

struct StoreReadResult {
  StoreRead read;
  /// Time just before the first call was sent.
  base::TimePoint sent_at;
  /// Nullopt if a call failed. Absent rows have version 0 or are left out.
  std::optional<store::ReadResult> rows;
};

/// @brief Submits an operator's change or the initial catalogue.
struct CatalogueSubmission {
  CatalogueChange change;
  /// Null for the initial catalogue, since no caller waits for its result.
  std::shared_ptr<std::promise<ChangeResult>> answer;
};

using StoreWrite = std::variant<store::Transaction, CatalogueSubmission>;

struct TransactionCompletion {
  std::string operation_id;
  store::TransactionResult result;
};

struct SubmissionCompletion {
  ChangeResult result;
  std::shared_ptr<std::promise<ChangeResult>> answer;
};

using StoreWriteResult =
    std::variant<TransactionCompletion, SubmissionCompletion>;

struct StoreThreads {
  /// Capacity of the request rings. If one is full, control retries in a later
  /// round.
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
  /// The result rings have twice the capacity of the request rings, so that
  /// there is always room for the result of each request.
  base::Ring<StoreReadResult> read_results{2 * kRingCapacity};
  base::Ring<StoreWriteResult> write_results{2 * kRingCapacity};
  base::WakeEvent reader_wake;
  base::WakeEvent writer_wake;
  std::atomic<bool> stopping = false;
  std::thread reader;
  std::thread writer;
};

/// @brief Executes one read with blocking calls.
StoreReadResult RunRead(store::Store& store, const StoreRead& read);

/// @brief Executes one write with blocking calls.
StoreWriteResult RunWrite(store::Store& store, const StoreWrite& write);

void StartStoreThreads(StoreThreads& threads);

/// @brief Stops both threads, each after its current request.
void StopStoreThreads(StoreThreads& threads);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_STORE_THREAD_HPP
