// Validates a complete catalogue, independent of the format it was read from.
#ifndef EELGRASSBRIDGE_CATALOGUE_VALIDATE_HPP
#define EELGRASSBRIDGE_CATALOGUE_VALIDATE_HPP

#include "eelgrassbridge/base/problem.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::catalogue {

/// @brief Appends all problems found: invalid or duplicate names, unknown
/// regions, text that is not UTF-8, and numbers out of range.
void Validate(const Catalogue& catalogue, base::Problems& problems);

/// @brief Returns the problems found; empty if the catalogue is valid.
std::vector<base::Problem> Validate(const Catalogue& catalogue);

/// @brief Limits that Validate checks.
inline constexpr std::uint32_t kMaxInstances = 100'000;
inline constexpr std::uint32_t kMaxGroupsPerInstance = 64;
inline constexpr std::uint32_t kMaxAvailabilityPpm = 1'000'000;
inline constexpr double kMaxWorth = 1e6;
inline constexpr base::Duration kMinDeadline = base::milliseconds{1};
inline constexpr base::Duration kMaxDeadline = base::seconds{600};
inline constexpr std::uint64_t kMaxBodyBytes = 1ULL << 30U;

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_VALIDATE_HPP
