// The catalogue: services, client accounts and data centres of a site, as
// configured by operators. An accepted version is immutable; each change
// creates the next version.
#ifndef EELGRASSBRIDGE_CATALOGUE_CATALOGUE_HPP
#define EELGRASSBRIDGE_CATALOGUE_CATALOGUE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::catalogue {

/// @brief Priority class of an entry; lower values are served first.
enum class PriorityClass : std::uint8_t { kCritical, kNormal, kBulk };

/// @brief Limits of an entry or a client account; zero means unlimited.
struct Limits {
  std::uint32_t requests_per_second = 0;
  std::uint32_t in_flight = 0;
  std::uint64_t max_body_bytes = 0;

  bool operator==(const Limits&) const = default;
};

/// @brief Service-level objective of a request kind.
struct Objective {
  /// Share of requests that must get a complete answer, in parts per million.
  std::uint32_t availability_ppm = 999000;
  /// Latency that 99 of 100 answers must not exceed (99th percentile).
  base::Duration p99{base::milliseconds{500}};

  bool operator==(const Objective&) const = default;
};

/// @brief One kind of request of a service, e.g. pickup claims.
struct RequestKind {
  std::string name;
  PriorityClass priority = PriorityClass::kNormal;
  bool idempotent = true;
  /// Weight of this kind in the error budget burn report.
  double worth = 1.0;
  base::Duration deadline{base::milliseconds{2000}};
  Limits limits;
  Objective objective;

  bool operator==(const RequestKind&) const = default;
};

/// @brief One catalogue entry: a service with its owner, class and limits.
struct Service {
  std::string name;
  /// The team or person responsible for the entry.
  std::string owner;
  PriorityClass priority = PriorityClass::kNormal;
  bool divided_by_key = false;
  /// Expected number of instances; the group count is the product of this and
  /// groups_per_instance.
  std::uint32_t instances = 1;
  std::uint32_t groups_per_instance = 4;
  /// Maximum deadline passed to a target for a request of a divided service.
  base::Duration run_limit{base::milliseconds{1000}};
  /// Regions that may serve accounts without home regions; sorted, never empty.
  std::vector<std::string> regions;
  Limits limits;
  std::vector<RequestKind> kinds;

  bool operator==(const Service&) const = default;
};

struct ClientAccount {
  std::string name;
  /// Sorted; empty means the regions of the service.
  std::vector<std::string> home_regions;
  Limits limits;

  bool operator==(const ClientAccount&) const = default;
};

struct DataCentre {
  std::string name;
  std::string region;

  bool operator==(const DataCentre&) const = default;
};

/// @brief A data centre or a target taken out of service.
struct OutOfService {
  enum class What : std::uint8_t { kDataCentre, kTarget };
  What what = What::kDataCentre;
  std::string name;
  /// The operator confirmed that it is permanently stopped, which shortens the
  /// wait before a take-over when owner and deputy are both lost.
  bool confirmed_stopped = false;

  bool operator==(const OutOfService&) const = default;
};

struct Catalogue {
  /// Zero if no catalogue is known yet.
  std::uint64_t version = 0;
  std::string site;
  std::vector<DataCentre> data_centres;
  std::vector<Service> services;
  std::vector<ClientAccount> accounts;
  std::vector<OutOfService> out_of_service;
  /// Who made this version, when (Unix ms) and why.
  std::string changed_by;
  std::int64_t changed_at_ms = 0;
  std::string reason;

  bool operator==(const Catalogue&) const = default;
};

}  // namespace eelgrassbridge::catalogue

#endif  // EELGRASSBRIDGE_CATALOGUE_CATALOGUE_HPP
