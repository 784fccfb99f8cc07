// Client of the platform's table service and object store.
//
// Calls block; see HttpStoreOptions::timeout. A Store isn't thread-safe: each
// thread creates its own. The process must ignore SIGPIPE; constructing an
// httplib::Server does that as a side effect.
#ifndef EELGRASSBRIDGE_STORE_STORE_HPP
#define EELGRASSBRIDGE_STORE_STORE_HPP

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/store/memory_table.hpp"
#include "eelgrassbridge/store/row.hpp"

namespace httplib {
class Client;
}  // namespace httplib

namespace eelgrassbridge::store {

/// @brief Address and timeout of the store; the daemon sets them from its
/// settings.
struct HttpStoreOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  /// Timeout of the connection attempt, and of each read and write.
  base::Duration timeout = base::milliseconds{1000};
};

/// @brief The platform's store over HTTP, on one persistent connection.
struct HttpStore {
  std::shared_ptr<httplib::Client> client;
};

/// @brief A store in the memory of this process, without persistence.
struct MemoryStore {
  /// Shared by the stores of all threads that use the same table.
  std::shared_ptr<MemoryTable> table;
};

struct Store {
  std::variant<HttpStore, MemoryStore> backend;
};

Store MakeHttpStore(const HttpStoreOptions& options);
Store MakeMemoryStore(std::shared_ptr<MemoryTable> table);

/// @brief Reads all rows whose key starts with the prefix, in key order. Rows
/// may change between the pages; the returned revision is that of the first
/// page, so that ReadChanges from there misses nothing.
base::Result<ReadResult> ReadRows(Store& store, std::string_view prefix);

/// @brief Reads the row of that key; its version is 0 if it is absent.
base::Result<Row> ReadRow(Store& store, std::string_view key);

/// @brief Maximum number of keys in one request; the table service rejects
/// more.
constexpr std::size_t kMaxKeysPerRead = 1000;

/// @brief Reads one row for each key, in the order of the keys; an absent row
/// has version 0. Sends one request per kMaxKeysPerRead keys; the revision is
/// that of the first one.
base::Result<ReadResult> ReadKeys(Store& store,
                                  std::span<const std::string> keys);

/// @brief Reads the rows written after that revision; a deleted row has
/// version 0.
base::Result<ReadResult> ReadChanges(Store& store,
                                     std::uint64_t since_revision);

/// @brief Applies all writes or none; see TransactionResult::Status for the
/// outcomes.
TransactionResult Transact(Store& store, const Transaction& transaction);

base::Result<std::string> GetObject(Store& store, std::string_view name);

/// @brief Creates or replaces the object. Fails with kStoreResultUnknown if
/// the object may have been written.
base::Result<void> PutObject(Store& store,
                             std::string_view name,
                             std::string_view content);

}  // namespace eelgrassbridge::store

#endif  // EELGRASSBRIDGE_STORE_STORE_HPP
