// Request ids of non-idempotent requests.
#ifndef EELGRASSBRIDGE_LIMITS_REQUEST_ID_HPP
#define EELGRASSBRIDGE_LIMITS_REQUEST_ID_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/identifier.hpp"

namespace eelgrassbridge::limits {

/// @brief `<daemon>-<epoch>-<sequence>-<random>`: 16 hexadecimal digits, two
/// decimal numbers, 32 hexadecimal digits.
struct RequestId {
  base::DaemonId issuer;
  /// Epoch of the group at the issue; 0 for undivided services.
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  /// 128 random bits as hexadecimal digits, so that ids cannot be guessed.
  std::string random;

  bool operator==(const RequestId&) const = default;
};

std::string ToString(const RequestId& id);
std::optional<RequestId> ParseRequestId(std::string_view text);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_REQUEST_ID_HPP
