// Slots of the target beside the daemon, and the queue for them.
#ifndef EELGRASSBRIDGE_NODE_TARGET_SLOT_HPP
#define EELGRASSBRIDGE_NODE_TARGET_SLOT_HPP

#include <asio/awaitable.hpp>
#include <cstdint>
#include <memory>

#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief A slot of the target; released on destruction.
struct Slot {
  Slot(Node& owner, std::uint64_t admitted_in)
      : node(owner), generation(admitted_in), started(base::BootClock::now()) {}
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;
  ~Slot();

  Node& node;
  std::uint64_t generation;
  base::TimePoint started;
  limits::RunEnd end = limits::RunEnd::kCancelled;
};

using SlotPointer = std::shared_ptr<Slot>;

/// @brief Wakes the queued requests that may run now or are refused.
void DispatchWaiters(Node& node);

/// @brief Whether a request would get a slot without a wait.
bool HasFreeSlot(const limits::TargetLimiter& limiter);

/// @brief What the request asks of the target's limiter, if it has to start by
/// `latest`.
limits::AdmissionRequest AdmissionRequestOf(const RequestTerms& terms,
                                            base::TimePoint latest,
                                            base::TimePoint now);

/// @brief Waits for the pace of a cold start, then for a slot. Fails with the
/// reason of a refusal.
asio::awaitable<base::Result<SlotPointer>> AcquireSlot(
    Node& node,
    const RequestTerms& terms,
    base::TimePoint latest,
    CancellationPointer cancellation);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_TARGET_SLOT_HPP
