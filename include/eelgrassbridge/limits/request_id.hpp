// Ids that identify non-idempotent requests across resends.
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
  /// Epoch of the group when the id was issued; 0 for unsharded services.
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  /// 128 random bits as hexadecimal digits, so that ids cannot be guessed.
  std::string random;

  bool operator==(const RequestId&) const = default;
};

/// @brief Formats an id as text.
std::string ToString(const RequestId& id);

/// @brief Parses the text form; returns nothing if it is malformed.
std::optional<RequestId> ParseRequestId(std::string_view text);

}  // namespace eelgrassbridge::limits

#endif  // EELGRASSBRIDGE_LIMITS_REQUEST_ID_HPP
