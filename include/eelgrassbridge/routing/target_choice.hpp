// Chooses a target for a request of an undivided service by the power of two
// choices: of two random targets in the nearest tier the one with the lower
// load and latency is taken.
//
// There is one table per service; the daemon guards it with a mutex. The cost
// of a choice does not grow with the number of targets, unless all draws of a
// tier hit targets that must not be used.
#ifndef EELGRASSBRIDGE_ROUTING_TARGET_CHOICE_HPP
#define EELGRASSBRIDGE_ROUTING_TARGET_CHOICE_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/routing/latency_score.hpp"

namespace eelgrassbridge::routing {

/// @brief Distance of a target from this daemon; nearer tiers are preferred.
enum class Locality : std::uint8_t {
  kDataCentre,
  kRegion,
  kOtherRegion,
};
inline constexpr std::size_t kLocalityCount = 3;

struct ChoiceOptions {
  LatencyScoreOptions latency;
  /// Random draws in a tier before the whole tier is searched.
  std::uint32_t draws = 6;
  /// Time constant of the exponential decay of load, link and health reports.
  base::Duration report_decay{base::milliseconds{2000}};
  /// Time for which a reported limit counts.
  base::Duration room_validity{base::milliseconds{3000}};
  /// Whether requests spill over to a farther target that is expected to answer
  /// sooner when the chosen one is full.
  bool spill = false;
  /// By locality: factor by which the expected response time is multiplied when
  /// tiers are compared. Traffic over longer distances costs more and uses
  /// links with less capacity.
  std::array<double, kLocalityCount> distance_factor{1, 1.1, 1.6};
  /// By locality: latency assumed for a target without samples when tiers are
  /// compared because a nearer target is full.
  std::array<base::Duration, kLocalityCount> assumed_latency{
      base::milliseconds{50}, base::milliseconds{50}, base::milliseconds{120}};
};

/// @brief A target as known from membership and the catalogue.
struct TargetMember {
  /// The daemon beside the target.
  base::DaemonId id;
  Locality locality = Locality::kDataCentre;
  /// Whether the target may take new requests, i.e. it is neither draining nor
  /// taken out of service.
  bool may_get_work = false;
  /// Maximum number of concurrent requests; zero if unknown, in which case the
  /// target never counts as full.
  std::uint32_t slots = 0;
  /// Numeric identifier of the target's region.
  std::uint64_t region = 0;
};

/// @brief Outcome of one attempt, used to update the state of its target.
struct AnswerReport {
  enum class Kind : std::uint8_t {
    kAnswered,
    kOverloaded,
    kFailed,
    kCancelled
  };
  Kind kind = Kind::kAnswered;
  base::Duration latency{};
  /// In-flight count that the peer piggybacked on the response, if any.
  std::optional<std::uint32_t> peer_in_flight;
  /// Time until the peer's link has sent the downloads that it admitted, if the
  /// peer reported it.
  std::optional<base::Duration> link_backlog = std::nullopt;
  /// Number of concurrent requests that the peer's target handles well, if the
  /// peer has learned it.
  std::optional<std::uint32_t> peer_room{};
};

struct TargetState {
  TargetMember member;
  /// Requests of this daemon that are waiting for an answer.
  std::uint32_t own_in_flight = 0;
  /// Last in-flight count reported by the peer.
  std::uint32_t peer_in_flight = 0;
  base::TimePoint peer_in_flight_at{};
  /// Last limit reported by the peer; zero if none.
  std::uint32_t peer_room = 0;
  base::TimePoint peer_room_at{};
  /// Backlog of the peer's link, as it last reported it.
  base::Duration link_backlog{};
  base::TimePoint link_backlog_at{};
  LatencyScore latency;
  /// Time of the last answer, or of the first request in flight if that is
  /// later. While requests are in flight, the time since then is a lower bound
  /// of the latency.
  base::TimePoint unanswered_since{};
  /// Penalty from load and health reports, from 0 (none) to 1.
  double report_penalty = 0;
  base::TimePoint report_penalty_at{};
  /// Until this time the target is chosen only if no other one may be.
  base::TimePoint avoid_until{};
  /// Number of consecutive failures.
  std::uint32_t failures = 0;
};

struct TargetTable {
  ChoiceOptions options;
  std::vector<TargetState> targets;
  std::unordered_map<base::DaemonId, std::uint32_t> index;
  /// Positions of the targets that may take new requests, by locality.
  std::array<std::vector<std::uint32_t>, kLocalityCount> tiers;
};

/// @brief Replaces the members. Members that stay keep their state.
void SetMembers(TargetTable& table, std::span<const TargetMember> members);

/// @brief Returns the target for a new attempt, or nullopt if no target may
/// take it. `exclude` lists the targets already tried, `farthest` bounds the
/// distance, and `regions` lists the regions that may serve the request (all if
/// empty). `max_link_wait` is set for a download: the wait for the target's
/// link then counts as a part of its cost, and a target is avoided if it is
/// expected to be longer.
std::optional<base::DaemonId> ChooseTarget(
    const TargetTable& table,
    std::uint64_t random,
    std::span<const base::DaemonId> exclude,
    base::TimePoint now,
    Locality farthest = Locality::kOtherRegion,
    std::span<const std::uint64_t> regions = {},
    std::optional<base::Duration> max_link_wait = std::nullopt);

/// @brief Records that a request was sent to a target.
void RecordRequestSent(TargetTable& table,
                       base::DaemonId target,
                       base::TimePoint now);

/// @brief Records the outcome of a request. Must be called once for each
/// RecordRequestSent.
void RecordAnswer(TargetTable& table,
                  base::DaemonId target,
                  const AnswerReport& report,
                  base::TimePoint now);

/// @brief Records a load or health report about a target, from 0 (idle) to 1
/// (full or unhealthy). A report can only make a target less preferred than the
/// answers to this daemon's own requests do, never more.
void RecordLoadReport(TargetTable& table,
                      base::DaemonId target,
                      double load,
                      base::TimePoint now);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_TARGET_CHOICE_HPP
