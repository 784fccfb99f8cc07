// Reads the lease rows of the service.
#ifndef EELGRASSBRIDGE_NODE_LEASE_ROWS_HPP
#define EELGRASSBRIDGE_NODE_LEASE_ROWS_HPP

#include <asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Lease rows of the present era of the store.
struct LeaseRows {
  /// Leases that have not expired by the store's clock.
  std::vector<ranges::LeaseRecord> live;
  /// Daemons whose rows were replaced by another writer, so that it is not
  /// known when their leases end.
  std::vector<std::string> unknown;
  /// Versions of all rows, by daemon address.
  std::map<std::string, std::uint64_t, std::less<>> versions;
  /// Rows of former eras.
  std::vector<RowName> former;
  /// Store time of the read.
  base::Duration read_at{};
};

asio::awaitable<base::Result<LeaseRows>> ReadLeases(Node& node);

/// @brief Whether the daemon has a live lease.
bool IsLive(const LeaseRows& rows, const std::string& daemon);

/// @brief Whether a lease of the daemon may still be valid.
bool MayBeLive(const LeaseRows& rows, const std::string& daemon);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_LEASE_ROWS_HPP
