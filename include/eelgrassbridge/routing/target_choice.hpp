// Choice of a target for a request of an undivided service: two random
// choices within the nearest tier, compared by load and latency.
//
// One table belongs to one service; the daemon guards it with a mutex. The
// choice looks at a few entries only, whatever the number of targets.
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

/// @brief Distance of a target; nearer tiers are preferred.
enum class Locality : std::uint8_t {
  kDataCentre,
  kRegion,
  kOtherRegion,
};
inline constexpr std::size_t kLocalityCount = 3;

struct ChoiceOptions {
  LatencyScoreOptions latency;
  /// Random draws in a tier before all of it is searched.
  std::uint32_t draws = 6;
  /// Time constant with which a report loses its effect.
  base::Duration report_decay{base::milliseconds{2000}};
  /// Whether a full target gives way to a farther one that answers sooner.
  bool spill = false;
  /// By locality: how many times sooner a farther target has to answer, since
  /// bytes on long ways cost more and take from a narrow link.
  std::array<double, kLocalityCount> distance_factor{1, 1.1, 1.6};
  /// By locality: latency of a target that has not answered yet, if nearer ones
  /// are full.
  std::array<base::Duration, kLocalityCount> assumed_latency{
      base::milliseconds{50}, base::milliseconds{50}, base::milliseconds{120}};
};

/// @brief A target as routing knows it from membership and the catalogue.
struct TargetMember {
  /// The daemon beside the target.
  base::DaemonId id;
  Locality locality = Locality::kDataCentre;
  /// Drain and take-out already applied.
  bool may_get_work = false;
  /// Requests that it runs at once; zero: not known, and never full.
  std::uint32_t slots = 0;
  /// Number that stands for its region.
  std::uint64_t region = 0;
};

/// @brief What an answer tells about its target.
struct AnswerReport {
  enum class Kind : std::uint8_t {
    kAnswered,
    kOverloaded,
    kFailed,
    kCancelled
  };
  Kind kind = Kind::kAnswered;
  base::Duration latency{};
  /// In-flight count that the peer piggybacked on the reply, if any.
  std::optional<std::uint32_t> peer_in_flight;
};

struct TargetState {
  TargetMember member;
  /// Requests of this daemon that wait for an answer.
  std::uint32_t own_in_flight = 0;
  /// Last in-flight count heard from the peer.
  std::uint32_t peer_in_flight = 0;
  base::TimePoint peer_heard_at{};
  LatencyScore latency;
  /// Time of the last answer, or of the first request in flight. A silent
  /// target counts as at least as slow as its silence.
  base::TimePoint silent_since{};
  /// Distrust from load and health reports: 0 is none.
  double distrust = 0;
  base::TimePoint distrust_at{};
  /// Until then the target is not chosen while another may be.
  base::TimePoint avoid_until{};
  /// Failures in a row.
  std::uint32_t failures = 0;
};

struct TargetTable {
  ChoiceOptions options;
  std::vector<TargetState> targets;
  std::unordered_map<base::DaemonId, std::uint32_t> index;
  /// Positions of the targets that may get work, by locality.
  std::array<std::vector<std::uint32_t>, kLocalityCount> tiers;
};

/// @brief Replaces the members; state of those that stay is kept.
void SetMembers(TargetTable& table, std::span<const TargetMember> members);

/// @brief The target for a new attempt, none if none may take it. `exclude`
/// lists targets already tried; `regions` those that may serve, all if empty.
std::optional<base::DaemonId> ChooseTarget(
    const TargetTable& table,
    std::uint64_t random,
    std::span<const base::DaemonId> exclude,
    base::TimePoint now,
    Locality farthest = Locality::kOtherRegion,
    std::span<const std::uint64_t> regions = {});

/// @brief A request is sent to a target.
void NoteSent(TargetTable& table, base::DaemonId target, base::TimePoint now);

/// @brief Its answer or failure; once for each NoteSent.
void NoteAnswer(TargetTable& table,
                base::DaemonId target,
                const AnswerReport& report,
                base::TimePoint now);

/// @brief A load or health report about a target, from 0 (idle) to 1 (full or
/// sick). It can lower the trust in the target and never raises it above what
/// own answers give.
void NoteLoadReport(TargetTable& table,
                    base::DaemonId target,
                    double load,
                    base::TimePoint now);

}  // namespace eelgrassbridge::routing

#endif  // EELGRASSBRIDGE_ROUTING_TARGET_CHOICE_HPP
