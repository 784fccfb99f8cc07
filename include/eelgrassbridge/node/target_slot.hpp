// Slots of the target beside the daemon, and the queue for them.
#ifndef EELGRASSBRIDGE_NODE_TARGET_SLOT_HPP
#define EELGRASSBRIDGE_NODE_TARGET_SLOT_HPP

#include <asio/awaitable.hpp>
#include <cstdint>
#include <memory>

#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief A slot of the target, and a start in the pace of a cold one. Both are
/// released on destruction.
struct Slot {
  Slot(Node& owner, std::uint64_t admitted_in, const limits::RunStart& start)
      : node(owner),
        generation(admitted_in),
        run_start(start),
        started(base::BootClock::now()) {}
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;
  ~Slot();

  Node& node;
  std::uint64_t generation;
  limits::RunStart run_start;
  base::TimePoint started;
  limits::RunEnd end = limits::RunEnd::kCancelled;
  /// The request was sent to the target.
  bool sent = false;
};

using SlotPointer = std::shared_ptr<Slot>;

/// @brief Wakes the queued requests that may run now or are refused.
void DispatchWaiters(Node& node);

/// @brief What the request asks of the target's limiter, if it has to start by
/// `latest`. The result refers to the account in `terms`.
limits::AdmissionRequest AdmissionRequestOf(const RequestTerms& terms,
                                            base::TimePoint latest,
                                            base::TimePoint now);

/// @brief Waits for a slot and, if the target is cold, for its pace. Fails with
/// the reason of a refusal.
asio::awaitable<base::Result<SlotPointer>> AcquireSlot(
    Node& node,
    const RequestTerms& terms,
    base::TimePoint latest,
    CancellationPointer cancellation);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_TARGET_SLOT_HPP
