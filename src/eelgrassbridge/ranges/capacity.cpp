// Estimates the capacity of owners.
#include "eelgrassbridge/ranges/capacity.hpp"

#include <algorithm>
#include <vector>

namespace eelgrassbridge::ranges {

namespace {

/// Fraction of refused requests from which an owner is taken to be at its
/// capacity. Fewer are refused because of short bursts.
constexpr double kRefusingFraction = 0.1;
/// Lower bound of a capacity taken from what an owner serves while it refuses,
/// as a fraction of its slots divided by its run time.
constexpr double kMinServedFraction = 0.5;

/// Mean run time of an owner; 0 if it is not known. Daemons that publish no
/// steady run time at all publish no parts of their demand either.
double OwnRunSeconds(const OwnerLoad& load) {
  return load.steady_run_seconds > 0 || !load.parts.empty()
             ? load.steady_run_seconds
             : load.run_seconds;
}

}  // namespace

double UsualRunSeconds(std::span<const LeaseRecord> live,
                       double fallback_seconds) {
  std::vector<double> known;
  for (const LeaseRecord& lease : live) {
    const double run_seconds = OwnRunSeconds(lease.load);
    if (run_seconds > 0) {
      known.push_back(run_seconds);
    }
  }
  if (known.empty()) {
    return fallback_seconds;
  }
  const auto middle =
      known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
  std::ranges::nth_element(known, middle);
  return *middle;
}

double CapacityOf(const OwnerLoad& load, double usual_run_seconds) {
  const std::uint32_t usable = load.learned_limit > 0
                                   ? std::min(load.learned_limit, load.slots)
                                   : load.slots;
  const double own = OwnRunSeconds(load);
  const double nominal =
      std::max(1U, usable) / (own > 0 ? own : usual_run_seconds);
  if (load.refused_per_second <= load.requests_per_second * kRefusingFraction) {
    return nominal;
  }
  const double served = load.requests_per_second - load.refused_per_second;
  return std::clamp(served, nominal * kMinServedFraction, nominal);
}

}  // namespace eelgrassbridge::ranges
