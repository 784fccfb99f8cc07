// Cancels a blocking operation of a request from another thread.
#ifndef EELGRASSBRIDGE_DAEMON_INTERRUPT_HPP
#define EELGRASSBRIDGE_DAEMON_INTERRUPT_HPP

#include <functional>
#include <mutex>

namespace eelgrassbridge::daemon {

/// @brief Cancellation state of one request.
///
/// `action` ends the current blocking operation, if there is one.
///
/// Lock order: this mutex is locked before any mutex that `action` locks, so an
/// operation sets its action before it locks such a mutex.
struct Interrupt {
  std::mutex mutex;
  bool is_cancelled = false;
  std::function<void()> action;
};

/// @brief Ends the current blocking operation and prevents later ones from
/// starting.
void Cancel(Interrupt& interrupt);

/// @brief Sets the cancellation action of a blocking operation for a scope.
struct InterruptScope {
  /// @param wanted may be null: the operation cannot be cancelled then.
  InterruptScope(Interrupt* wanted, std::function<void()> action);
  ~InterruptScope();
  InterruptScope(const InterruptScope&) = delete;
  InterruptScope& operator=(const InterruptScope&) = delete;

  Interrupt* interrupt;
  /// Already cancelled: the operation must not start.
  bool is_cancelled = false;
};

/// @brief Returns whether Cancel was called; false for null.
bool IsCancelled(Interrupt* interrupt);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_INTERRUPT_HPP
