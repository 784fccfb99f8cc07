// The outgoing link of a VM as a resource that downloads share with all other
// traffic: admission by the time at which an answer would be sent, turns for
// writing bodies, and the pace of the writes.
//
// Short answers share the link's queue with downloads. They stay quick only if
// that queue stays short, so downloads are written no faster than the link
// sends: what the sockets take at once would wait in the queue.
#ifndef EELGRASSBRIDGE_LIMITS_LINK_BUDGET_HPP
#define EELGRASSBRIDGE_LIMITS_LINK_BUDGET_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::limits {

struct LinkOptions {
  /// Rate of the link; zero: it is unknown or carries no downloads, and nothing
  /// is limited.
  double bytes_per_second = 0;
  /// Part of the rate that carries data; the headers of packets and repeated
  /// packets take the rest.
  double data_share = 0.9;
  /// Part of the rate that downloads keep when all other traffic takes more.
  double min_download_share = 0.25;
  /// Bodies written at a time. Two keep the link full when one waits for its
  /// target.
  std::uint32_t max_turns = 2;
  /// Time without progress after which a turn no longer counts.
  base::Duration turn_limit{base::milliseconds{300}};
  /// Data that may be written ahead of the link: how long a short answer waits
  /// behind downloads.
  base::Duration write_ahead{base::milliseconds{20}};
  /// Bound on the time for which written data counts as still on the link, so
  /// that a rate that is set too low does not add up.
  base::Duration max_delay{base::milliseconds{200}};
  /// EWMA weight of one answer in the mean size.
  double size_weight = 0.1;
  /// Time constant of the rate of other traffic.
  base::Duration traffic_decay{base::milliseconds{1000}};
};

/// @brief Identifies the reservation of a download; later ones are greater.
using LinkTicket = std::uint64_t;

/// @brief A download as far as it concerns the link.
struct LinkRequest {
  /// Expected time until its answer begins.
  base::Duration ready_in{};
  /// Time by which its answer has to be sent.
  base::TimePoint latest_end{};
};

struct LinkReservation {
  enum class Turn : std::uint8_t { kNone, kWaiting, kWriting, kStalled };
  Turn turn = Turn::kNone;
  /// Mean size at the admission, then the size of the answer once it is known.
  std::uint64_t expected_bytes = 0;
  std::uint64_t written_bytes = 0;
  bool size_known = false;
  /// Order of the turns.
  base::TimePoint latest_end{};
  /// Until then a turn for writing counts; each write extends it.
  base::TimePoint counts_until{};
};

/// @brief State of one link.
///
/// Invariant: at most `max_turns` reservations have the turn kWriting.
struct LinkBudget {
  LinkOptions options;
  std::map<LinkTicket, LinkReservation> reservations;
  LinkTicket next_ticket = 1;
  /// Mean size of a download's answer in bytes; zero before the first.
  double mean_bytes = 0;
  /// Until then the link sends what was written.
  base::TimePoint busy_until{};
  /// Decaying sum of the bytes of all other traffic.
  double other_bytes = 0;
  base::TimePoint other_at{};
};

/// @brief Whether the link limits downloads.
bool IsLimited(const LinkBudget& budget);

/// @brief Whether a further download can be answered in time. An idle link
/// takes any. Before the first answer one is admitted at a time.
bool HasRoom(const LinkBudget& budget,
             const LinkRequest& request,
             base::TimePoint now);

/// @brief Reserves the link for a download, or returns nullopt if it has no
/// room. Finish must follow.
std::optional<LinkTicket> AdmitDownload(LinkBudget& budget,
                                        const LinkRequest& request,
                                        base::TimePoint now);

/// @brief Whether an admitted download can still be answered in time, after
/// those that were admitted before it.
bool IsInTime(const LinkBudget& budget,
              LinkTicket ticket,
              const LinkRequest& request,
              base::TimePoint now);

/// @brief Sets the size of the answer in bytes. `typical` says that it counts
/// for the mean size; that of an error does not.
void SetSize(LinkBudget& budget,
             LinkTicket ticket,
             std::uint64_t bytes,
             bool typical);

/// @brief Asks for a turn to write the answer; GrantTurns gives it.
void RequestTurn(LinkBudget& budget, LinkTicket ticket);

/// @brief Gives free turns to those that have to end first, and returns them.
/// A turn that has stalled does not count, and keeps writing.
std::vector<LinkTicket> GrantTurns(LinkBudget& budget, base::TimePoint now);

/// @brief When a turn may end its count while others wait; nullopt if none
/// waits.
std::optional<base::TimePoint> NextTurnCheck(const LinkBudget& budget);

/// @brief Time of a download's next write, which has been possible since
/// `ready`. However much other traffic there is, each of the turns goes on at
/// the share of the link that downloads keep.
base::TimePoint NextWrite(const LinkBudget& budget, base::TimePoint ready);

/// @brief Maximum size of one write in bytes.
std::size_t MaxWriteBytes(const LinkBudget& budget);

/// @brief Records a write of the download's answer.
void RecordWritten(LinkBudget& budget,
                   LinkTicket ticket,
                   std::uint64_t bytes,
                   base::TimePoint now);

/// @brief Records other traffic on the link.
void RecordOther(LinkBudget& budget, std::uint64_t bytes, base::TimePoint now);

/// @brief Ends a reservation and its turn.
void Finish(LinkBudget& budget, LinkTicket ticket);

/// @brief Bytes that admitted downloads are expected to write yet.
std::uint64_t BacklogBytes(const LinkBudget& budget);

/// @brief Time until the link has sent all that is written and expected.
base::Duration TimeUntilRoom(const LinkBudget& budget, base::TimePoint now);

/// @brief Number of downloads that wait for a turn.
std::uint32_t TurnsWaiting(const LinkBudget& budget);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_LINK_BUDGET_HPP
