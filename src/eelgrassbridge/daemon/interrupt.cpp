// Sets, clears and runs the cancellation action.
#include "eelgrassbridge/daemon/interrupt.hpp"

namespace eelgrassbridge::daemon {

void Cancel(Interrupt& interrupt) {
  const std::scoped_lock lock(interrupt.mutex);
  interrupt.is_cancelled = true;
  if (interrupt.action) {
    interrupt.action();
  }
}

InterruptScope::InterruptScope(Interrupt* wanted, std::function<void()> action)
    : interrupt(wanted) {
  if (this->interrupt == nullptr) {
    return;
  }
  const std::scoped_lock lock(this->interrupt->mutex);
  this->is_cancelled = this->interrupt->is_cancelled;
  this->interrupt->action = std::move(action);
}

InterruptScope::~InterruptScope() {
  if (this->interrupt != nullptr) {
    const std::scoped_lock lock(this->interrupt->mutex);
    this->interrupt->action = nullptr;
  }
}

bool IsCancelled(Interrupt* interrupt) {
  if (interrupt == nullptr) {
    return false;
  }
  const std::scoped_lock lock(interrupt->mutex);
  return interrupt->is_cancelled;
}

}  // namespace eelgrassbridge::daemon
