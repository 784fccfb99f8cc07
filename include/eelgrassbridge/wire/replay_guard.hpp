// Protection against replayed and reordered messages of one sender.
#ifndef EELGRASSBRIDGE_WIRE_REPLAY_GUARD_HPP
#define EELGRASSBRIDGE_WIRE_REPLAY_GUARD_HPP

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::wire {

/// @brief Highest sequence heard from each sender.
///
/// Invariants: a sequence is accepted at most once; the table never holds more
/// than `limit` senders. Senders that were silent for `retention` make room,
/// since each restart of a daemon brings a new sender.
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

/// @brief Whether the message is new; if so, its sequence is recorded.
bool AcceptSequence(ReplayGuard& guard,
                    base::DaemonId sender,
                    std::uint64_t sequence,
                    base::TimePoint now);

}  // namespace eelgrassbridge::wire

#endif  // EELGRASSBRIDGE_WIRE_REPLAY_GUARD_HPP
