// Rows of the store that a daemon keeps for the other daemons of its data
// centre, and what it knows of their age.
#ifndef EELGRASSBRIDGE_NODE_ROW_COPIES_HPP
#define EELGRASSBRIDGE_NODE_ROW_COPIES_HPP

#include <asio/io_context.hpp>
#include <cstdint>
#include <string>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/http/event.hpp"
#include "eelgrassbridge/node/row_freshness.hpp"
#include "eelgrassbridge/node/table_copy.hpp"

namespace eelgrassbridge::node {

/// @brief The operator's rows, for other daemons of the data centre.
struct OperatorCopy {
  explicit OperatorCopy(asio::io_context& io) : changed(io) {}
  TableCopy table;
  /// Latest version that a relay has announced, and the version of the row that
  /// announces it.
  std::uint64_t announced_version = 0;
  std::uint64_t announcement_row_version = 0;
  Freshness freshness;
  /// When another daemon last asked for a confirmation.
  base::TimePoint asked_at{};
  /// Notified when the version of the copy has risen, when a confirmation has
  /// arrived, when a read of the store has ended, and when a planned stop
  /// begins.
  http::Event changed;
};

/// @brief Changes of the fleet's rows, for other daemons of the data centre.
struct FleetCopy {
  explicit FleetCopy(asio::io_context& io) : changed(io) {}
  TableCopy table;
  /// When this daemon last received changes, and when it last received an
  /// answer of the store itself.
  base::TimePoint received_at{};
  base::TimePoint store_read_at{};
  /// When another daemon last asked for changes.
  base::TimePoint asked_at{};
  /// The last poll of the store by this daemon failed, so it cannot tell others
  /// that nothing has changed.
  bool read_failing = false;
  /// The last answer that was encoded, which most followers get alike.
  struct Encoded {
    std::uint64_t after = 0;
    std::uint64_t version = 0;
    std::string text;
  };
  Encoded encoded;
  /// Notified when changes have arrived, when polls of the store begin to fail,
  /// and when a planned stop begins.
  http::Event changed;
};

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_ROW_COPIES_HPP
