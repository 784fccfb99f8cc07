// Compares home regions with those in recently replaced catalogues.
#include "eelgrassbridge/daemon/residency_settling.hpp"

#include <algorithm>

#include "eelgrassbridge/catalogue/catalogue_queries.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// How long replaced catalogues are kept. Longer than kChangePropagationTime
/// plus any run limit.
constexpr base::Duration kRetentionTime = base::seconds{120};

bool HadOtherHomeRegions(const ReplacedCatalogue& replaced,
                         std::string_view service_name,
                         std::string_view account_name,
                         const std::vector<std::string>& home_regions) {
  if (replaced.catalogue == nullptr) {
    return true;
  }
  const catalogue::Service* const service =
      catalogue::FindService(*replaced.catalogue, service_name);
  return service != nullptr &&
         catalogue::HomeRegions(
             *service, catalogue::FindAccount(*replaced.catalogue,
                                              account_name)) != home_regions;
}

}  // namespace

void RecordReplacedCatalogue(
    std::vector<ReplacedCatalogue>& replaced_catalogues,
    std::shared_ptr<const catalogue::Catalogue> replaced,
    const catalogue::Catalogue& next,
    base::TimePoint now,
    std::int64_t now_ms) {
  std::erase_if(replaced_catalogues, [&](const ReplacedCatalogue& old) {
    return now - old.replaced_at > kRetentionTime;
  });
  base::TimePoint replaced_at = now;
  if (replaced == nullptr) {
    if (next.version <= 1) {
      return;
    }
    replaced_at -= base::milliseconds{
        std::max<std::int64_t>(now_ms - next.changed_at_ms, 0)};
  }
  replaced_catalogues.push_back({std::move(replaced), replaced_at});
}

bool IsResidencySettling(std::span<const ReplacedCatalogue> replaced_catalogues,
                         const catalogue::Service& service,
                         std::string_view account,
                         const std::vector<std::string>& home_regions,
                         base::TimePoint now) {
  return std::ranges::any_of(
      replaced_catalogues, [&](const ReplacedCatalogue& old) {
        return now < old.replaced_at + kChangePropagationTime +
                         service.run_limit &&
               HadOtherHomeRegions(old, service.name, account, home_regions);
      });
}

}  // namespace eelgrassbridge::daemon
