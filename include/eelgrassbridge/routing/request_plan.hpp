// The plan for one request at one daemon: serve here, forward to a peer, or
// refuse. It is made again at each daemon on the path.
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

/// @brief Most forwards of one request.
inline constexpr std::uint32_t kMaxHops = 2;

/// @brief The parsed request.
struct RequestFacts {
  std::string_view service;
  std::string_view kind;
  std::string_view account;
  std::string_view key;
  /// Issuer of the request id; none without an id.
  base::DaemonId id_issuer;
  bool has_id = false;
  /// An id was sent but could not be parsed.
  bool id_malformed = false;
  /// Times this request was forwarded before it came here.
  std::uint32_t hops = 0;
  std::uint64_t body_bytes = 0;
  base::TimePoint deadline;
};

/// @brief What the routing view, the tables and the quarantine say. Pointers
/// and views are borrowed for the call.
struct RoutingFacts {
  base::DaemonId self;
  bool ready = false;
  bool draining = false;
  std::string_view own_region;
  const catalogue::Catalogue* catalogue = nullptr;
  /// Divided services: owner of the group as known here (none if unknown),
  /// whether this daemon has an open gate for it, and whether the owner is an
  /// alive peer in a home region.
  base::DaemonId owner;
  bool owned_here = false;
  bool owner_reachable = false;
  /// Undivided services: whether the target here serves this service, and
  /// ChooseTarget's answer among the home regions.
  bool served_here = false;
  std::optional<base::DaemonId> chosen;
  /// Whether the issuer of the id is this daemon or an alive peer at home.
  bool issuer_reachable = false;
  PoisonVerdict poison = PoisonVerdict::kNormal;
  /// Undivided services with kRunAlone: DaemonForSuspect's answer.
  std::optional<base::DaemonId> suspect_daemon;
};

struct ServeHere {
  /// Take TryStartAlone before the hand-over.
  bool alone = false;
  /// Only a kept answer may be given; if the record says "run", end the id as
  /// not run and refuse as quarantined.
  bool kept_only = false;
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

/// @brief First stage, from the catalogue alone and before anything is looked
/// up, queued, logged or recorded: the entry and the home regions.
struct EntryFacts {
  const catalogue::Service* service = nullptr;
  const catalogue::RequestKind* kind = nullptr;
  const catalogue::ClientAccount* account = nullptr;
  const std::vector<std::string>* home_regions = nullptr;
};
base::Result<EntryFacts> FindEntry(const RequestFacts& request,
                                   const RoutingFacts& facts);

/// @brief The plan, FindEntry included.
RequestPlan PlanRequest(const RequestFacts& request,
                        const RoutingFacts& facts,
                        base::TimePoint now);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_REQUEST_PLAN_HPP
