// Stand-in of the platform's store: rows under conditions, a feed, and the
// troubles that the platform's pages tell of. Runs on the loop of its test.
#ifndef EELGRASSBRIDGE_STANDINS_PLATFORM_ROW_STANDIN_HPP
#define EELGRASSBRIDGE_STANDINS_PLATFORM_ROW_STANDIN_HPP

#include <asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "eelgrassbridge/http/event.hpp"
#include "eelgrassbridge/http/server.hpp"

namespace eelgrassbridge::standins {

/// @brief What is wrong with the store.
enum class StoreFault : std::uint8_t {
  kNone,
  /// Answers 503; nothing is done.
  kUnavailable,
  /// Takes calls and never answers; nothing is done.
  kUnresponsive,
  /// Does what it is asked and closes the connection without an answer.
  kDropsResponses,
  /// Loses the answer and does the call a moment later.
  kLateWrites,
};

struct RowStandin {
  explicit RowStandin(asio::io_context& io);

  struct Row {
    /// Base64, as on the wire.
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  /// Table, partition, key.
  using Name = std::tuple<std::string, std::string, std::string>;

  http::Server server;
  http::Event changed;
  std::map<Name, Row> rows;
  std::uint64_t version = 1;
  /// Feeds from before this version get 410.
  std::uint64_t history_from = 0;
  StoreFault fault = StoreFault::kNone;
  std::chrono::milliseconds delay{0};
  std::uint64_t calls = 0;
  std::uint64_t writes = 0;
};

/// @brief Listens on a free loopback port and serves; returns its address.
std::string Start(RowStandin& standin);

/// @brief Writes a row of the operator, as the platform does.
void PutOperatorRow(RowStandin& standin,
                    std::string_view key,
                    std::string_view value);
void RemoveOperatorRow(RowStandin& standin, std::string_view key);

/// @brief Drops the history of changes.
void DropHistory(RowStandin& standin);

/// @brief The decoded value of a row; empty if it does not exist.
std::string ValueOf(const RowStandin& standin, const RowStandin::Name& name);

}  // namespace eelgrassbridge::standins

#endif  // EELGRASSBRIDGE_STANDINS_PLATFORM_ROW_STANDIN_HPP
