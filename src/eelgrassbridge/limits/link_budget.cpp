// Expected times of answers on the link, turns, and the pace of writes.
#include "eelgrassbridge/limits/link_budget.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace eelgrassbridge::limits {

namespace {

using base::Duration;
using base::TimePoint;
using Turn = LinkReservation::Turn;

/// A reader that takes less than this part of a turn's share of the link uses
/// up the time for which its turn counts.
constexpr double kSlowReaderShare = 0.5;
/// Time on the link of one write: short against what may be written ahead.
constexpr double kWriteSeconds = 0.005;
constexpr std::size_t kMinWriteBytes = std::size_t{8} << 10U;
constexpr std::size_t kMaxWriteBytes = std::size_t{128} << 10U;

/// Time that the data takes at a rate in bytes per second.
Duration TimeOf(double bytes, double rate) {
  const std::chrono::duration<double> time(bytes / rate);
  return std::chrono::duration_cast<Duration>(time);
}

double DataRate(const LinkBudget& budget) {
  return budget.options.bytes_per_second * budget.options.data_share;
}

double DecayedOther(const LinkBudget& budget, TimePoint now) {
  const std::chrono::duration<double> elapsed =
      std::max(Duration{0}, now - budget.other_at);
  const std::chrono::duration<double> constant = budget.options.traffic_decay;
  return budget.other_bytes * std::exp(-(elapsed / constant));
}

/// Rate at which the link sends downloads beside all other traffic.
double DownloadRate(const LinkBudget& budget, TimePoint now) {
  const std::chrono::duration<double> constant = budget.options.traffic_decay;
  const double other_rate = DecayedOther(budget, now) / constant.count();
  return std::max(
      budget.options.bytes_per_second * budget.options.min_download_share,
      DataRate(budget) - other_rate);
}

std::uint64_t BytesLeft(const LinkReservation& reservation) {
  return reservation.expected_bytes -
         std::min(reservation.expected_bytes, reservation.written_bytes);
}

/// Bytes to be written for the reservations before a ticket.
std::uint64_t BytesBefore(const LinkBudget& budget, LinkTicket ticket) {
  std::uint64_t bytes = 0;
  for (const auto& [other, reservation] : budget.reservations) {
    if (other >= ticket) {
      break;
    }
    bytes += BytesLeft(reservation);
  }
  return bytes;
}

/// Time until the link has sent what is written, and these bytes more.
Duration DrainTime(const LinkBudget& budget, double bytes, TimePoint now) {
  return std::max(Duration{0}, budget.busy_until - now) +
         TimeOf(bytes, DownloadRate(budget, now));
}

/// Whether an answer of `size` bytes is sent in time after `ahead` others.
bool CanSendInTime(const LinkBudget& budget,
                   const LinkRequest& request,
                   double ahead,
                   double size,
                   TimePoint now) {
  const Duration start =
      std::max(request.ready_in, DrainTime(budget, ahead, now));
  const Duration end = start + TimeOf(size, DownloadRate(budget, now));
  return now + end <= request.latest_end;
}

/// Puts data on the link behind what was written before.
void Occupy(LinkBudget& budget, std::uint64_t bytes, TimePoint now) {
  const Duration time = TimeOf(static_cast<double>(bytes), DataRate(budget));
  budget.busy_until = std::min(std::max(budget.busy_until, now) + time,
                               now + budget.options.max_delay);
}

LinkReservation* Find(LinkBudget& budget, LinkTicket ticket) {
  const auto found = budget.reservations.find(ticket);
  return found == budget.reservations.end() ? nullptr : &found->second;
}

std::uint32_t CountTurns(const LinkBudget& budget, Turn turn) {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      budget.reservations,
      [turn](const auto& entry) { return entry.second.turn == turn; }));
}

}  // namespace

bool IsLimited(const LinkBudget& budget) {
  return budget.options.bytes_per_second > 0;
}

bool HasRoom(const LinkBudget& budget,
             const LinkRequest& request,
             TimePoint now) {
  if (!IsLimited(budget) || budget.reservations.empty()) {
    return true;
  }
  return budget.mean_bytes > 0 &&
         CanSendInTime(budget, request,
                       static_cast<double>(BacklogBytes(budget)),
                       budget.mean_bytes, now);
}

std::optional<LinkTicket> AdmitDownload(LinkBudget& budget,
                                        const LinkRequest& request,
                                        TimePoint now) {
  if (!HasRoom(budget, request, now)) {
    return std::nullopt;
  }
  const LinkTicket ticket = budget.next_ticket++;
  LinkReservation& reservation = budget.reservations[ticket];
  reservation.expected_bytes = static_cast<std::uint64_t>(budget.mean_bytes);
  reservation.latest_end = request.latest_end;
  return ticket;
}

bool IsInTime(const LinkBudget& budget,
              LinkTicket ticket,
              const LinkRequest& request,
              TimePoint now) {
  const auto found = budget.reservations.find(ticket);
  if (!IsLimited(budget) || found == budget.reservations.end() ||
      found == budget.reservations.begin()) {
    return true;
  }
  return CanSendInTime(budget, request,
                       static_cast<double>(BytesBefore(budget, ticket)),
                       static_cast<double>(BytesLeft(found->second)), now);
}

void SetSize(LinkBudget& budget,
             LinkTicket ticket,
             std::uint64_t bytes,
             bool typical) {
  LinkReservation* const reservation = Find(budget, ticket);
  if (reservation == nullptr || reservation->size_known) {
    return;
  }
  reservation->expected_bytes = bytes;
  reservation->size_known = true;
  if (typical) {
    const double weight =
        budget.mean_bytes == 0 ? 1 : budget.options.size_weight;
    // A mean of zero would mean that no size is known.
    budget.mean_bytes = std::max(
        1.0, budget.mean_bytes +
                 weight * (static_cast<double>(bytes) - budget.mean_bytes));
  }
}

void RequestTurn(LinkBudget& budget, LinkTicket ticket) {
  if (LinkReservation* const reservation = Find(budget, ticket)) {
    reservation->turn = Turn::kWaiting;
  }
}

std::vector<LinkTicket> GrantTurns(LinkBudget& budget, TimePoint now) {
  for (auto& [ticket, reservation] : budget.reservations) {
    if (reservation.turn == Turn::kWriting && reservation.counts_until <= now) {
      reservation.turn = Turn::kStalled;
    }
  }
  std::vector<LinkTicket> granted;
  std::uint32_t writing = CountTurns(budget, Turn::kWriting);
  while (writing < budget.options.max_turns) {
    LinkTicket next = 0;
    TimePoint next_end = TimePoint::max();
    for (const auto& [ticket, reservation] : budget.reservations) {
      if (reservation.turn == Turn::kWaiting &&
          (next == 0 || reservation.latest_end < next_end)) {
        next = ticket;
        next_end = reservation.latest_end;
      }
    }
    if (next == 0) {
      break;
    }
    LinkReservation& reservation = budget.reservations[next];
    reservation.turn = Turn::kWriting;
    reservation.counts_until = now + budget.options.turn_limit;
    granted.push_back(next);
    ++writing;
  }
  return granted;
}

std::optional<TimePoint> NextTurnCheck(const LinkBudget& budget) {
  if (TurnsWaiting(budget) == 0) {
    return std::nullopt;
  }
  std::optional<TimePoint> next;
  for (const auto& [ticket, reservation] : budget.reservations) {
    if (reservation.turn == Turn::kWriting) {
      next =
          std::min(next.value_or(TimePoint::max()), reservation.counts_until);
    }
  }
  return next;
}

TimePoint NextWrite(const LinkBudget& budget, TimePoint ready) {
  if (!IsLimited(budget)) {
    return ready;
  }
  const LinkOptions& options = budget.options;
  const Duration longest =
      TimeOf(static_cast<double>(MaxWriteBytes(budget)),
             options.bytes_per_second * options.min_download_share);
  return std::clamp(budget.busy_until - options.write_ahead, ready,
                    ready + longest);
}

std::size_t MaxWriteBytes(const LinkBudget& budget) {
  const double bytes = DataRate(budget) * kWriteSeconds;
  return std::clamp(static_cast<std::size_t>(bytes), kMinWriteBytes,
                    kMaxWriteBytes);
}

void RecordWritten(LinkBudget& budget,
                   LinkTicket ticket,
                   std::uint64_t bytes,
                   TimePoint now) {
  LinkReservation* const reservation = Find(budget, ticket);
  if (reservation == nullptr || !IsLimited(budget)) {
    return;
  }
  reservation->written_bytes += bytes;
  Occupy(budget, bytes, now);
  const double slow_rate =
      DataRate(budget) * kSlowReaderShare / budget.options.max_turns;
  reservation->counts_until =
      std::min(now + budget.options.turn_limit,
               reservation->counts_until +
                   TimeOf(static_cast<double>(bytes), slow_rate));
}

void RecordOther(LinkBudget& budget, std::uint64_t bytes, TimePoint now) {
  if (bytes == 0 || !IsLimited(budget)) {
    return;
  }
  budget.other_bytes = DecayedOther(budget, now) + static_cast<double>(bytes);
  budget.other_at = now;
  Occupy(budget, bytes, now);
}

void Finish(LinkBudget& budget, LinkTicket ticket) {
  budget.reservations.erase(ticket);
}

std::uint64_t BacklogBytes(const LinkBudget& budget) {
  return BytesBefore(budget, std::numeric_limits<LinkTicket>::max());
}

Duration TimeUntilRoom(const LinkBudget& budget, TimePoint now) {
  if (!IsLimited(budget)) {
    return Duration{0};
  }
  return DrainTime(budget, static_cast<double>(BacklogBytes(budget)), now);
}

std::uint32_t TurnsWaiting(const LinkBudget& budget) {
  return CountTurns(budget, Turn::kWaiting);
}

}  // namespace eelgrassbridge::limits
