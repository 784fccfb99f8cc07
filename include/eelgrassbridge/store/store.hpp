// Client of the platform's table service and object store.
//
// All calls block for at most about the timeout. A Store is used by one thread
// at a time; a thread that needs its own makes its own. The process must
// ignore SIGPIPE, which the HTTP library's server does when it is made.
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

/// @brief Where the store is; the daemon fills it from settings.
struct HttpStoreOptions {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  /// Longest wait for a connection, and for each read and write on it.
  base::Duration timeout = base::milliseconds{1000};
};

/// @brief The platform's store over HTTP, on one kept-alive connection.
struct HttpStore {
  std::shared_ptr<httplib::Client> client;
};

/// @brief A store inside the process. Keeps nothing when the process ends.
struct MemoryStore {
  /// Shared by the threads that use the same table.
  std::shared_ptr<MemoryTable> table;
};

struct Store {
  std::variant<HttpStore, MemoryStore> kind;
};

Store MakeHttpStore(const HttpStoreOptions& options);
Store MakeMemoryStore(std::shared_ptr<MemoryTable> table);

/// @brief All rows whose key starts with the prefix, in key order. Pages are
/// read one after the other and the revision is that of the first page, so
/// ReadChanges from there misses nothing.
base::Result<ReadResult> ReadRows(Store& store, std::string_view prefix);

/// @brief The row of that key; version 0 if it is absent.
base::Result<Row> ReadRow(Store& store, std::string_view key);

/// @brief Most keys of one call of the table; it refuses more.
constexpr std::size_t kMaxKeysPerRead = 1000;

/// @brief The rows of these keys in the order of the keys, with version 0 where
/// a row is absent. One call for each kMaxKeysPerRead keys; the revision is
/// that of the first call.
base::Result<ReadResult> ReadKeys(Store& store,
                                  std::span<const std::string> keys);

/// @brief Rows written after that revision; a deleted row has version 0.
base::Result<ReadResult> ReadChanges(Store& store,
                                     std::uint64_t since_revision);

/// @brief Applies all writes or none. A refused connection or a refusal by the
/// store is kNotSent; a reply that is lost, late or unreadable is kUnknown.
TransactionResult Transact(Store& store, const Transaction& transaction);

base::Result<std::string> GetObject(Store& store, std::string_view name);

/// @brief Replaces the object. kStoreResultUnknown if the reply was lost.
base::Result<void> PutObject(Store& store,
                             std::string_view name,
                             std::string_view content);

}  // namespace eelgrassbridge::store

#endif  // EELGRASSBRIDGE_STORE_STORE_HPP
