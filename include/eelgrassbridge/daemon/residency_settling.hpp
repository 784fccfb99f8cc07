// The settling period after a change of an account's home regions, in which no
// daemon serves the account's keys.
//
// Keys are mapped to groups by the residency of their account, so a change of
// its home regions maps them to other groups. A daemon that has not received
// the change may still serve a key under the old mapping. No daemon may serve
// it under the new one until every daemon has the change and the last request
// under the old mapping has ended.
#ifndef EELGRASSBRIDGE_DAEMON_RESIDENCY_SETTLING_HPP
#define EELGRASSBRIDGE_DAEMON_RESIDENCY_SETTLING_HPP

#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::daemon {

/// Maximum time until an accepted change is in force at every daemon that is
/// not partitioned from the others.
inline constexpr base::Duration kChangePropagationTime = base::seconds{3};

/// @brief A recently replaced catalogue.
struct ReplacedCatalogue {
  /// Null if it was replaced before this daemon started and is not known.
  std::shared_ptr<const catalogue::Catalogue> catalogue;
  base::TimePoint replaced_at;
};

/// @brief Adds the catalogue that `next` replaces and removes expired ones.
/// @param replaced null if this daemon has just started.
/// @param now_ms Unix time, from which the age of a change made before the
/// start of this daemon is computed.
void RecordReplacedCatalogue(
    std::vector<ReplacedCatalogue>& replaced_catalogues,
    std::shared_ptr<const catalogue::Catalogue> replaced,
    const catalogue::Catalogue& next,
    base::TimePoint now,
    std::int64_t now_ms);

/// @brief Returns whether another daemon may still serve the keys of the
/// account under an earlier mapping.
bool IsResidencySettling(std::span<const ReplacedCatalogue> replaced_catalogues,
                         const catalogue::Service& service,
                         std::string_view account,
                         const std::vector<std::string>& home_regions,
                         base::TimePoint now);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_RESIDENCY_SETTLING_HPP
