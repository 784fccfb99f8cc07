// The wait for a slot of the target, and its release.
#include "eelgrassbridge/node/target_slot.hpp"

#include <algorithm>

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;
using base::TimePoint;

/// Waits in the queue until the ticket is dispatched or refused. Withdraws it
/// when the request is cancelled or `latest` passes.
awaitable<base::Result<SlotPointer>> AwaitDispatch(
    Node& node,
    limits::Ticket ticket,
    std::shared_ptr<SlotWaiter> waiter,
    TimePoint latest,
    CancellationPointer cancellation) {
  cancellation->abort = [waiter] { http::Notify(waiter->event); };
  while (!waiter->dispatched && !waiter->refusal && !cancellation->cause &&
         base::BootClock::now() < latest) {
    co_await http::WaitUntil(waiter->event, latest);
  }
  cancellation->abort = nullptr;
  if (waiter->dispatched) {
    co_return std::make_shared<Slot>(node, waiter->generation,
                                     waiter->run_start);
  }
  if (waiter->refusal) {
    co_return base::Fail(*waiter->refusal, {});
  }
  node.admission.waiters.erase(ticket);
  limits::Withdraw(node.admission.limiter, ticket);
  co_return base::Fail(cancellation->cause.value_or(ErrorKind::kOverloaded),
                       {});
}

catalogue::PriorityClass PriorityClassOf(std::uint32_t priority) {
  constexpr std::uint32_t kLast = limits::kPriorityClassCount - 1;
  return static_cast<catalogue::PriorityClass>(std::min(priority, kLast));
}

}  // namespace

Slot::~Slot() {
  if (!this->sent) {
    limits::CancelStart(this->node.admission.limiter.pace);
  }
  limits::Finish(this->node.admission.limiter, this->end,
                 base::BootClock::now() - this->started, this->generation);
  DispatchWaiters(this->node);
}

void DispatchWaiters(Node& node) {
  Admission& admission = node.admission;
  while (const auto dispatch =
             limits::NextDispatch(admission.limiter, base::BootClock::now())) {
    const auto found = admission.waiters.find(dispatch->ticket);
    if (found == admission.waiters.end()) {
      continue;
    }
    SlotWaiter& waiter = *found->second;
    waiter.refusal = dispatch->refusal;
    waiter.dispatched = !dispatch->refusal;
    waiter.generation = dispatch->generation;
    waiter.run_start = dispatch->start;
    http::Notify(waiter.event);
    admission.waiters.erase(found);
  }
  const base::TimePoint now = base::BootClock::now();
  if (const auto start = limits::NextPacedStart(admission.limiter, now)) {
    http::Arm(admission.paced_start, *start - now,
              [&node] { DispatchWaiters(node); });
  } else {
    http::Disarm(admission.paced_start);
  }
}

limits::AdmissionRequest AdmissionRequestOf(const RequestTerms& terms,
                                            TimePoint latest,
                                            TimePoint now) {
  const bool may_wait = terms.max_wait > base::Duration{0};
  limits::AdmissionRequest request;
  request.priority = PriorityClassOf(terms.priority);
  request.account = terms.account;
  request.deadline = may_wait ? latest : terms.deadline;
  request.deadline_for_start = true;
  request.due = now + std::min(terms.max_wait,
                               ScaleDuration(terms.objective, kMaxWaitShare));
  return request;
}

awaitable<base::Result<SlotPointer>> AcquireSlot(
    Node& node,
    const RequestTerms& terms,
    TimePoint latest,
    CancellationPointer cancellation) {
  const bool may_wait = terms.max_wait > base::Duration{0};
  if (!may_wait &&
      !limits::CanStartNow(node.admission.limiter, base::BootClock::now())) {
    co_return base::Fail(ErrorKind::kOverloaded, {});
  }
  const limits::Admission admission =
      limits::Admit(node.admission.limiter,
                    AdmissionRequestOf(terms, latest, base::BootClock::now()),
                    base::BootClock::now());
  std::shared_ptr<SlotWaiter> waiter;
  if (admission.state == limits::Admission::State::kQueued) {
    waiter = std::make_shared<SlotWaiter>(node.io);
    node.admission.waiters[admission.ticket] = waiter;
  }
  DispatchWaiters(node);
  switch (admission.state) {
    case limits::Admission::State::kRun:
      co_return std::make_shared<Slot>(node, admission.generation,
                                       admission.start);
    case limits::Admission::State::kRefused:
      co_return base::Fail(admission.refusal, {});
    case limits::Admission::State::kQueued:
      break;
  }
  co_return co_await AwaitDispatch(node, admission.ticket, std::move(waiter),
                                   latest, cancellation);
}

}  // namespace eelgrassbridge::node
