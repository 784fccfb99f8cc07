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

/// @brief Forwards that a request may still need in the longest case: entry to
/// a stale owner, stale owner's answer, entry to the owner.
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
  /// Divided services: owner of the group as known here, none if unknown, and
  /// whether this daemon has an open gate for it.
  base::DaemonId owner;
  bool owned_here = false;
  /// Region of the owner, of the id's issuer or of the admitting daemon is
  /// checked through `is_forwardable`: peers that may be sent this request
  /// (alive and in a home region).
  bool owner_forwardable = false;
  /// Undivided services: ChooseTarget's answer among the home regions.
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
