// The catalogue's version chain in the table.
//
// Row catalogue/current holds the newest catalogue, rows
// catalogue/history/<version> one entry for each version. A change writes both
// in one transaction, so the chain has no gaps and no forks.
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

/// @brief Key of the history row of a version; versions sort as numbers.
std::string HistoryKey(std::uint64_t version);

/// @brief Writes change.next as version expected_version + 1 if that is still
/// the newest one. A lost reply is resolved by reading the history row.
ChangeResult SubmitCatalogue(store::Store& store,
                             const CatalogueChange& change);

/// @brief The newest entries, newest first.
base::Result<std::vector<HistoryEntry>> ReadHistory(store::Store& store,
                                                    std::uint32_t limit);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CATALOGUE_STORE_HPP
