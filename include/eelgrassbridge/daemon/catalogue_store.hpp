// Storage of the catalogue and its history in the table.
//
// The row catalogue/current holds the newest catalogue; each row
// catalogue/history/<version> holds the history entry of one version. A change
// writes both in one transaction, so the history has no gaps and no forks.
#ifndef EELGRASSBRIDGE_DAEMON_CATALOGUE_STORE_HPP
#define EELGRASSBRIDGE_DAEMON_CATALOGUE_STORE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/daemon/admin_messages.hpp"
#include "eelgrassbridge/store/store.hpp"

namespace eelgrassbridge::daemon {

inline constexpr std::string_view kCatalogueKey = "catalogue/current";

/// @brief Returns the key of a version's history row. The version is padded
/// with zeros, so that keys sort in numeric order.
std::string HistoryKey(std::uint64_t version);

/// @brief Writes change.next as version expected_version + 1 if
/// expected_version is still the newest version. If the reply to the write is
/// lost, the outcome is determined by reading the history row.
ChangeResult SubmitCatalogue(store::Store& store,
                             const CatalogueChange& change);

/// @brief Returns the newest `limit` entries, newest first.
base::Result<std::vector<HistoryEntry>> ReadHistory(store::Store& store,
                                                    std::uint32_t limit);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CATALOGUE_STORE_HPP
