// Limits as parts of the bound, and the decisions that follow from them.
#include "eelgrassbridge/node/row_freshness.hpp"

#include <algorithm>

namespace eelgrassbridge::node {

namespace {

/// Part of the bound between two confirmations.
constexpr double kConfirmPart = 0.4;

base::Duration PartOf(base::Duration bound, double part) {
  return std::chrono::duration_cast<base::Duration>(bound * part);
}

}  // namespace

FreshnessOptions FreshnessOptionsFor(base::Duration bound) {
  FreshnessOptions options;
  options.confirm_interval = PartOf(bound, kConfirmPart);
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

bool AreRelaysExhausted(const Freshness& freshness,
                        const FreshnessOptions& options) {
  return freshness.failed_relays >= options.relays_asked;
}

base::TimePoint StoreReadDue(const Freshness& freshness,
                             const FreshnessOptions& options) {
  if (freshness.read_failing) {
    return freshness.read_failed_at + options.retry_interval;
  }
  return AreRelaysExhausted(freshness, options) ? freshness.latest.as_of
                                                : base::TimePoint::max();
}

}  // namespace eelgrassbridge::node
