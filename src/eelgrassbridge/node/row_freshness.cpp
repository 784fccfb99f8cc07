// Limits as parts of the bound, and the decisions that follow from them.
#include "eelgrassbridge/node/row_freshness.hpp"

#include <algorithm>

namespace eelgrassbridge::node {

namespace {

/// Parts of the bound. A change that comes just after a confirmation is known
/// to a follower of a silent relay after kStorePart and kSpreadPart at the
/// latest, which leaves a fifth of the bound for the read of the store.
constexpr double kConfirmPart = 0.4;
constexpr double kRelayTimePart = 0.1;
constexpr double kStorePart = 0.76;
constexpr double kSpreadPart = 0.04;

base::Duration PartOf(base::Duration bound, double part) {
  return std::chrono::duration_cast<base::Duration>(bound * part);
}

}  // namespace

FreshnessOptions FreshnessOptionsFor(base::Duration bound) {
  FreshnessOptions options;
  options.confirm_interval = PartOf(bound, kConfirmPart);
  options.relay_time = PartOf(bound, kRelayTimePart);
  options.store_limit = PartOf(bound, kStorePart);
  options.read_spread = PartOf(bound, kSpreadPart);
  return options;
}

bool IsNews(const Confirmation& statement,
            const Confirmation& known,
            const FreshnessOptions& options) {
  return statement.version > known.version ||
         statement.as_of >= known.as_of + options.confirm_interval / 2;
}

void Confirm(Freshness& freshness, const Confirmation& statement) {
  Confirmation& latest = freshness.latest;
  if (statement.as_of > latest.as_of) {
    freshness.failed_relays = 0;
  }
  latest.as_of = std::max(latest.as_of, statement.as_of);
  latest.version = std::max(latest.version, statement.version);
}

void RecordApplied(Freshness& freshness, std::uint64_t complete_version) {
  if (freshness.latest.version <= complete_version) {
    freshness.applied_as_of = freshness.latest.as_of;
  }
}

void RecordRelayWithoutNews(Freshness& freshness) {
  ++freshness.failed_relays;
}

void RecordRead(Freshness& freshness, bool succeeded, base::TimePoint now) {
  freshness.read_failing = !succeeded;
  if (!succeeded) {
    freshness.read_failed_at = now;
  }
}

base::TimePoint AsOfPoll(base::TimePoint sent_at,
                         base::Duration wait,
                         bool has_changes,
                         base::TimePoint received_at) {
  return has_changes ? sent_at : std::min(sent_at + wait, received_at);
}

base::Duration NextPollWait(const Freshness& freshness,
                            base::TimePoint now,
                            const FreshnessOptions& options) {
  return std::clamp(freshness.latest.as_of + options.confirm_interval - now,
                    base::Duration{0}, options.confirm_interval);
}

base::TimePoint RelayDeadline(const Freshness& freshness,
                              base::TimePoint asked_at,
                              const FreshnessOptions& options) {
  return std::max(freshness.latest.as_of + options.store_limit,
                  asked_at + options.relay_time);
}

bool AreRelaysExhausted(const Freshness& freshness,
                        const FreshnessOptions& options) {
  return freshness.failed_relays >= options.relays_asked;
}

base::TimePoint StoreReadDue(const Freshness& freshness,
                             const FreshnessOptions& options,
                             double spread) {
  if (freshness.read_failing) {
    return freshness.read_failed_at + options.retry_interval;
  }
  return freshness.applied_as_of + options.store_limit +
         PartOf(options.read_spread, spread);
}

}  // namespace eelgrassbridge::node
