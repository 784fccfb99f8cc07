// Cancelling a blocking step of a request from another thread.
#ifndef EELGRASSBRIDGE_DAEMON_INTERRUPT_HPP
#define EELGRASSBRIDGE_DAEMON_INTERRUPT_HPP

#include <functional>
#include <mutex>

namespace eelgrassbridge::daemon {

/// @brief What would end the present blocking step, if there is one.
///
/// Lock order: the mutex here comes before any mutex that `action` takes, so a
/// step sets its action before it takes such a mutex.
struct Interrupt {
  std::mutex mutex;
  bool is_cancelled = false;
  std::function<void()> action;
};

/// @brief Ends the present blocking step and keeps later ones from starting.
void Cancel(Interrupt& interrupt);

/// @brief Sets the action of a blocking step for a scope.
struct InterruptScope {
  /// @param wanted may be null: then the step cannot be cancelled.
  InterruptScope(Interrupt* wanted, std::function<void()> action);
  ~InterruptScope();
  InterruptScope(const InterruptScope&) = delete;
  InterruptScope& operator=(const InterruptScope&) = delete;

  Interrupt* interrupt;
  /// The step must not start.
  bool is_cancelled = false;
};

bool IsCancelled(Interrupt* interrupt);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_INTERRUPT_HPP
