// The share of an open request in the memory for answers.
#include "eelgrassbridge/limits/answer_buffer.hpp"

#include <algorithm>

namespace eelgrassbridge::limits {

std::size_t MaxHeldAnswerBytes(std::size_t open_requests,
                               const AnswerBufferOptions& options) {
  const std::size_t share =
      options.total_bytes / std::max<std::size_t>(1, open_requests);
  return std::clamp(share, options.min_bytes, options.max_bytes);
}

}  // namespace eelgrassbridge::limits
