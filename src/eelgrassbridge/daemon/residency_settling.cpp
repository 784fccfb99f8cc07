// Comparison of home regions with those of replaced catalogues.
#include "eelgrassbridge/daemon/residency_settling.hpp"

#include <algorithm>

#include "eelgrassbridge/catalogue/catalogue_queries.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// Longer than kChangePropagationTime and any run limit together.
constexpr base::Duration kKeptTime = base::seconds{120};

bool HadOtherHome(const ReplacedCatalogue& past,
                  std::string_view service_name,
                  std::string_view account_name,
                  const std::vector<std::string>& home_regions) {
  if (past.catalogue == nullptr) {
    return true;
  }
  const catalogue::Service* const service =
      catalogue::FindService(*past.catalogue, service_name);
  return service != nullptr &&
         catalogue::HomeRegions(
             *service, catalogue::FindAccount(*past.catalogue, account_name)) !=
             home_regions;
}

}  // namespace

void RecordReplacedCatalogue(
    std::vector<ReplacedCatalogue>& past,
    std::shared_ptr<const catalogue::Catalogue> replaced,
    const catalogue::Catalogue& next,
    base::TimePoint now,
    std::int64_t now_ms) {
  std::erase_if(past, [&](const ReplacedCatalogue& old) {
    return now - old.replaced_at > kKeptTime;
  });
  base::TimePoint replaced_at = now;
  if (replaced == nullptr) {
    if (next.version <= 1) {
      return;
    }
    replaced_at -= base::milliseconds{
        std::max<std::int64_t>(now_ms - next.changed_at_ms, 0)};
  }
  past.push_back({std::move(replaced), replaced_at});
}

bool IsResidencySettling(std::span<const ReplacedCatalogue> past,
                         const catalogue::Service& service,
                         std::string_view account,
                         const std::vector<std::string>& home_regions,
                         base::TimePoint now) {
  return std::ranges::any_of(past, [&](const ReplacedCatalogue& old) {
    return now < old.replaced_at + kChangePropagationTime + service.run_limit &&
           HadOtherHome(old, service.name, account, home_regions);
  });
}

}  // namespace eelgrassbridge::daemon
