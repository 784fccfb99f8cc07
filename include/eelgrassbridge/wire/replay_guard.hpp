// Protection against replayed messages, by the sequence numbers of each sender.
// Messages that arrive out of order are rejected as well.
#ifndef EELGRASSBRIDGE_WIRE_REPLAY_GUARD_HPP
#define EELGRASSBRIDGE_WIRE_REPLAY_GUARD_HPP

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::wire {

/// @brief Highest sequence number received from each sender.
///
/// Invariants: a sequence number is accepted at most once while its sender is
/// in the table, and the table never holds more than `max_senders`. When it is
/// full, senders without messages for longer than `retention` are removed: each
/// restart of a daemon adds a sender.
struct ReplayGuard {
  struct SenderState {
    std::uint64_t sequence = 0;
    base::TimePoint received_at;
  };
  std::unordered_map<base::DaemonId, SenderState> senders;
  /// Twice the planned number of daemons.
  std::size_t max_senders = 30000;
  base::Duration retention = base::seconds{3600};
};

/// @brief Returns whether the message is new, and if so, records its sequence
/// number. Messages of unknown senders are rejected while the table is full.
bool AcceptSequence(ReplayGuard& guard,
                    base::DaemonId sender,
                    std::uint64_t sequence,
                    base::TimePoint now);

}  // namespace eelgrassbridge::wire

#endif  // EELGRASSBRIDGE_WIRE_REPLAY_GUARD_HPP
