// How much of an answer is read before it is relayed.
#ifndef EELGRASSBRIDGE_LIMITS_ANSWER_BUFFER_HPP
#define EELGRASSBRIDGE_LIMITS_ANSWER_BUFFER_HPP

#include <cstddef>

namespace eelgrassbridge::limits {

struct AnswerBufferOptions {
  /// Shared by the open requests. Those that came first keep what they hold, so
  /// that all together may hold a few times as much; see the test.
  std::size_t total_bytes = std::size_t{8} << 20U;
  std::size_t max_bytes = std::size_t{128} << 10U;
  /// One read of the socket.
  std::size_t min_bytes = std::size_t{16} << 10U;
};

/// @brief Returns how many bytes of an answer may be held before it is relayed,
/// while that many requests are open. A short answer is read completely, so
/// that another attempt can still replace a truncated one; many answers that
/// arrive at a time must not fill the memory of a small machine.
std::size_t MaxHeldAnswerBytes(std::size_t open_requests,
                               const AnswerBufferOptions& options = {});

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_ANSWER_BUFFER_HPP
