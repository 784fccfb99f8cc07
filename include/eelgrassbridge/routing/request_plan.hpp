// Decides what one daemon does with one request: serve it here, forward it to a
// peer, or refuse it. Each daemon on the path decides anew.
#ifndef EELGRASSBRIDGE_ROUTING_REQUEST_PLAN_HPP
#define EELGRASSBRIDGE_ROUTING_REQUEST_PLAN_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"
#include "eelgrassbridge/routing/poison_quarantine.hpp"

namespace eelgrassbridge::routing {

/// @brief Maximum number of times that a request is forwarded.
inline constexpr std::uint32_t kMaxHops = 2;

/// @brief The properties of a parsed request that routing depends on.
struct RequestFacts {
  std::string_view service;
  std::string_view kind;
  std::string_view account;
  std::string_view key;
  /// Daemon that issued the request id; unset without an id.
  base::DaemonId id_issuer;
  bool has_id = false;
  /// An id was sent but could not be parsed.
  bool id_malformed = false;
  /// Number of times that the request was forwarded before it arrived here.
  std::uint32_t hops = 0;
  std::uint64_t body_bytes = 0;
  base::TimePoint deadline;
};

/// @brief Inputs of a routing decision from the catalogue, the ownership and
/// target tables, and the quarantine. Pointers and views are borrowed for the
/// call.
struct RoutingFacts {
  base::DaemonId self;
  bool ready = false;
  bool draining = false;
  std::string_view own_region;
  const catalogue::Catalogue* catalogue = nullptr;
  /// Divided services: owner of the group as known here (unset if unknown),
  /// whether this daemon owns the group and its gate is open, and whether the
  /// owner is an alive peer in a home region.
  base::DaemonId owner;
  bool owned_here = false;
  bool owner_reachable = false;
  /// Undivided services: whether the local target serves this service, and the
  /// result of ChooseTarget among the home regions.
  bool served_here = false;
  std::optional<base::DaemonId> chosen;
  /// Whether the issuer of the id is this daemon or an alive peer in a home
  /// region.
  bool issuer_reachable = false;
  PoisonVerdict poison = PoisonVerdict::kNormal;
  /// Undivided services with kSingleRun: the result of DaemonForSuspect.
  std::optional<base::DaemonId> suspect_daemon;
};

struct ServeHere {
  /// The request is a suspect: TryStartSingleRun must succeed before the
  /// request is sent to the target.
  bool single_run = false;
  /// The request must not run; only a recorded answer may be returned. If there
  /// is none and the id would run, the id is recorded as "not run" and the
  /// request is refused as quarantined.
  bool replay_only = false;
  bool operator==(const ServeHere&) const = default;
};

struct ForwardTo {
  base::DaemonId peer;
  bool operator==(const ForwardTo&) const = default;
};

struct RefusePlan {
  base::ErrorKind kind = base::ErrorKind::kInternal;
  bool operator==(const RefusePlan&) const = default;
};

using RequestPlan = std::variant<ServeHere, ForwardTo, RefusePlan>;

/// @brief Catalogue entries and home regions that apply to a request.
struct EntryFacts {
  const catalogue::Service* service = nullptr;
  const catalogue::RequestKind* kind = nullptr;
  const catalogue::ClientAccount* account = nullptr;
  const std::vector<std::string>* home_regions = nullptr;
};
/// @brief First stage of PlanRequest. Uses only the catalogue and runs before
/// anything else is looked up, queued, logged or recorded, so that a request
/// outside its home regions leaves no trace.
///
/// Fails with kNotReady, kUnknownService, kUnknownKind or kWrongRegion.
base::Result<EntryFacts> FindEntry(const RequestFacts& request,
                                   const RoutingFacts& facts);

/// @brief Returns the plan for a request, or the reason for refusing it.
/// Includes FindEntry.
RequestPlan PlanRequest(const RequestFacts& request,
                        const RoutingFacts& facts,
                        base::TimePoint now);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_REQUEST_PLAN_HPP
