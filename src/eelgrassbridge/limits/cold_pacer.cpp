// Spaces the starts of requests to a cold target and bounds its sends.
#include "eelgrassbridge/limits/cold_pacer.hpp"

#include <algorithm>
#include <cmath>

namespace eelgrassbridge::limits {

namespace {

using base::TimePoint;

/// The rate of a cold target limits the requests in any span of this length.
constexpr base::Duration kPaceWindow = base::seconds{1};

std::size_t MaxInWindow(double rate) {
  return static_cast<std::size_t>(std::ceil(rate));
}

base::Duration IntervalOf(double rate) {
  const auto window = static_cast<double>(kPaceWindow.count());
  return base::Duration{static_cast<std::int64_t>(window / rate)};
}

/// Earliest time at which one more request fits into the second before it,
/// beside all that were started and not sent.
TimePoint WindowFreeAt(const ColdPacer& pacer,
                       std::size_t most,
                       TimePoint now) {
  const TimePoint known_at = std::max(now, pacer.known_since + kPaceWindow);
  if (pacer.unsent + 1 > most) {
    // Some of them must be sent and a second must pass.
    return known_at + kPaceWindow;
  }
  const std::size_t room = most - 1 - pacer.unsent;
  if (pacer.sent.size() <= room) {
    return known_at;
  }
  return std::max(known_at,
                  pacer.sent[pacer.sent.size() - room - 1] + kPaceWindow);
}

}  // namespace

bool IsCold(const ColdPacer& pacer, TimePoint now) {
  return now < pacer.cold_until && pacer.requests_per_second != 0;
}

bool IsPaceUnknown(const ColdPacer& pacer, TimePoint now) {
  return IsCold(pacer, now) && !pacer.requests_per_second;
}

TimePoint EarliestStart(const ColdPacer& pacer,
                        std::uint32_t ahead,
                        TimePoint now) {
  if (!IsCold(pacer, now)) {
    return now;
  }
  if (!pacer.requests_per_second) {
    return pacer.cold_until;
  }
  const double rate = *pacer.requests_per_second;
  const TimePoint first = std::max(
      {now, pacer.next_start, WindowFreeAt(pacer, MaxInWindow(rate), now)});
  return std::min(first + ahead * IntervalOf(rate), pacer.cold_until);
}

void RecordStart(ColdPacer& pacer, TimePoint now) {
  ++pacer.unsent;
  if (IsCold(pacer, now) && pacer.requests_per_second) {
    // A start that is late by less than an interval does not delay the next
    // one, so late timers do not lower the rate.
    const base::Duration interval = IntervalOf(*pacer.requests_per_second);
    const bool late = now - pacer.next_start >= interval;
    pacer.next_start = (late ? now : pacer.next_start) + interval;
  }
}

void CancelStart(ColdPacer& pacer) {
  --pacer.unsent;
  if (pacer.requests_per_second.value_or(0) > 0) {
    // Its place goes to the next request.
    pacer.next_start -= IntervalOf(*pacer.requests_per_second);
  }
}

bool MaySend(const ColdPacer& pacer, TimePoint now) {
  if (!IsCold(pacer, now)) {
    return true;
  }
  return pacer.requests_per_second && now >= pacer.known_since + kPaceWindow &&
         SentInLastSecond(pacer, now) < MaxInWindow(*pacer.requests_per_second);
}

std::size_t RecordSend(ColdPacer& pacer, TimePoint now) {
  --pacer.unsent;
  while (!pacer.sent.empty() && pacer.sent.front() + kPaceWindow <= now) {
    pacer.sent.pop_front();
  }
  pacer.sent.push_back(now);
  return pacer.sent.size();
}

std::size_t SentInLastSecond(const ColdPacer& pacer, TimePoint now) {
  const auto first = std::ranges::find_if(
      pacer.sent, [now](TimePoint at) { return at + kPaceWindow > now; });
  return static_cast<std::size_t>(pacer.sent.end() - first);
}

}  // namespace eelgrassbridge::limits
