// The time after a change of home regions in which nobody serves a key.
//
// Keys of an account live in groups of its residency, so a change of its home
// regions maps them to other groups. A daemon that has not heard of the change
// may serve a key by the old mapping; nobody may serve it by the new one until
// every daemon has the change and the last request by the old one has ended.
#ifndef EELGRASSBRIDGE_DAEMON_RESIDENCY_SETTLING_HPP
#define EELGRASSBRIDGE_DAEMON_RESIDENCY_SETTLING_HPP

#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::daemon {

/// Longest time until an accepted change is in force at every daemon that is
/// not cut off.
inline constexpr base::Duration kChangePropagationTime = base::seconds{3};

/// @brief A catalogue that was replaced a moment ago.
struct ReplacedCatalogue {
  /// Null: this daemon started and does not know it.
  std::shared_ptr<const catalogue::Catalogue> catalogue;
  base::TimePoint replaced_at;
};

/// @brief Adds the catalogue that `next` replaces, and drops old ones.
/// @param now_ms Unix time, for the age of a change that this daemon did not
/// see itself.
void RecordReplacedCatalogue(
    std::vector<ReplacedCatalogue>& past,
    std::shared_ptr<const catalogue::Catalogue> replaced,
    const catalogue::Catalogue& next,
    base::TimePoint now,
    std::int64_t now_ms);

/// @brief Whether the keys of the account may still be served elsewhere by an
/// earlier mapping.
bool IsResidencySettling(std::span<const ReplacedCatalogue> past,
                         const catalogue::Service& service,
                         std::string_view account,
                         const std::vector<std::string>& home_regions,
                         base::TimePoint now);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_RESIDENCY_SETTLING_HPP
