// Stand-in for the platform's store: conditional transactions on rows, a change
// feed, and the faults that the platform's documentation describes. Runs on the
// event loop of its test.
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

/// @brief Fault that the store simulates.
enum class StoreFault : std::uint8_t {
  kNone,
  /// Answers 503 without applying the call.
  kUnavailable,
  /// Accepts calls and neither answers nor applies them.
  kUnresponsive,
  /// Applies the call and closes the connection without a response.
  kDropsResponses,
  /// Drops the response and applies the transaction after a delay.
  kLateWrites,
  /// Answers 400 to transactions, as to a row that is too long.
  kRefusesWrites,
};

struct RowStandin {
  explicit RowStandin(asio::io_context& io);

  struct Row {
    /// Encoded in Base64, as on the wire.
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
  /// Sent with each response; incremented by each restore.
  std::uint64_t era = 1;
  /// Oldest version from which the feed can be read; older ones get 410.
  std::uint64_t history_from = 0;
  StoreFault fault = StoreFault::kNone;
  std::chrono::milliseconds delay{0};
  /// Rate of the link that all responses share, in bytes per second; 0: no
  /// limit. The link sends one response after the other.
  double link_rate = 0;
  /// Turn of the response that the link sends now, and number of turns given.
  std::uint64_t link_turn = 0;
  std::uint64_t link_turns = 0;
  http::Event link_free;
  /// How often each row was put into a response to a read or a poll.
  std::map<Name, std::uint64_t> rows_sent;
  std::uint64_t calls = 0;
  std::uint64_t writes = 0;
};

/// @brief Serves on a free loopback port and returns the address.
std::string Start(RowStandin& standin);

/// @brief Writes or removes a row of the operator's table, as the platform's
/// tools do.
void PutOperatorRow(RowStandin& standin,
                    std::string_view key,
                    std::string_view value);
void RemoveOperatorRow(RowStandin& standin, std::string_view key);

/// @brief Discards the change history, so that feeds from earlier versions get
/// 410.
void DropHistory(RowStandin& standin);

/// @brief Rows and version of the store at one moment.
struct StoreCopy {
  std::map<RowStandin::Name, RowStandin::Row> rows;
  std::uint64_t version = 0;
};

StoreCopy CopyOf(const RowStandin& standin);

/// @brief Replaces all rows and the version by those of the copy, begins a new
/// era and closes the connections of waiting polls. Feeds from versions that
/// the copy does not have get 410.
void Restore(RowStandin& standin, const StoreCopy& copy);

/// @brief Returns the decoded value of a row; empty if the row does not exist.
std::string ValueOf(const RowStandin& standin, const RowStandin::Name& name);

}  // namespace eelgrassbridge::standins

#endif  // EELGRASSBRIDGE_STANDINS_PLATFORM_ROW_STANDIN_HPP
