// Follows the changes of a table of the store.
#ifndef EELGRASSBRIDGE_NODE_TABLE_FEED_HPP
#define EELGRASSBRIDGE_NODE_TABLE_FEED_HPP

#include <asio/awaitable.hpp>
#include <functional>

#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/store_calls.hpp"

namespace eelgrassbridge::node {

/// How a feed gets its changes and what it does with them.
struct TableFeed {
  asio::awaitable<base::Result<RowPage>> (*next_page)(Node&,
                                                      FeedPosition,
                                                      Backoff&) = nullptr;
  void (*apply)(Node&, const StoredRow&) = nullptr;
  /// Runs after the rows of each page were applied.
  std::function<asio::awaitable<void>()> after_page;
};

/// @brief Applies the changes of a table until the feed no longer has the
/// changes from the current position, or the store may have been restored.
asio::awaitable<void> FollowTable(Node& node,
                                  FeedPosition position,
                                  Backoff& backoff,
                                  TableFeed feed);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_TABLE_FEED_HPP
