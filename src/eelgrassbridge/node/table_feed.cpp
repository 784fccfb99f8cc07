// The loop of a feed: next page, rows, position.
#include "eelgrassbridge/node/table_feed.hpp"

#include <algorithm>
#include <utility>

#include "eelgrassbridge/node/store_era.hpp"

namespace eelgrassbridge::node {

using asio::awaitable;
using base::ErrorKind;

awaitable<void> FollowTable(Node& node,
                            FeedPosition position,
                            Backoff& backoff,
                            TableFeed feed) {
  const std::uint64_t era = node.store.era;
  bool failed = false;
  while (node.store.era == era && !IsEraOutdated(node)) {
    FeedPosition next = position;
    if (failed) {
      // The store may have been restored while it was away. Only an answer
      // tells, and a poll might wait for long before it gets one.
      next.wait = std::chrono::milliseconds{0};
    }
    auto page = co_await feed.next_page(node, std::move(next), backoff);
    failed = !page;
    if (!page && page.error().kind == ErrorKind::kNotFound) {
      co_return;
    }
    if (node.store.era != era) {
      co_return;
    }
    if (!page) {
      co_await Pause(node, backoff);
      continue;
    }
    backoff = Backoff{};
    for (const StoredRow& row : page.value().rows) {
      feed.apply(node, row);
    }
    RebuildStaleTargetTables(node);
    position.after = std::max(position.after, page.value().state.version);
    if (feed.after_page) {
      co_await feed.after_page();
    }
  }
}

}  // namespace eelgrassbridge::node
