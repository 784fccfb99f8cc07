// Checks and records the sequence numbers of senders.
#include "eelgrassbridge/wire/replay_guard.hpp"

namespace eelgrassbridge::wire {

bool AcceptSequence(ReplayGuard& guard,
                    base::DaemonId sender,
                    std::uint64_t sequence,
                    base::TimePoint now) {
  const auto known = guard.senders.find(sender);
  if (known != guard.senders.end()) {
    if (sequence <= known->second.sequence) {
      return false;
    }
    known->second = {sequence, now};
    return true;
  }
  if (guard.senders.size() >= guard.max_senders) {
    std::erase_if(guard.senders, [&](const auto& entry) {
      return now - entry.second.received_at > guard.retention;
    });
    if (guard.senders.size() >= guard.max_senders) {
      return false;
    }
  }
  guard.senders.emplace(sender, ReplayGuard::SenderState{sequence, now});
  return true;
}

}  // namespace eelgrassbridge::wire
