// Serialization of the request-id records that are sent along with a group in a
// planned move.
#ifndef EELGRASSBRIDGE_DAEMON_REQUEST_ID_TRANSFER_HPP
#define EELGRASSBRIDGE_DAEMON_REQUEST_ID_TRANSFER_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/limits/request_id_record.hpp"

namespace eelgrassbridge::daemon {

/// Leaves space for the rest of a frame of 1 MiB.
inline constexpr std::size_t kMaxTransferBytes = std::size_t{900} << 10;

/// @brief Encodes the generations as CBOR.
///
/// If the result exceeds `max_bytes`, stored answers are replaced by
/// EndedUnknown, largest first; the ids still cannot run twice. If that is not
/// enough, the result is empty and the receiver refuses ids of earlier epochs.
std::string EncodeGenerations(std::vector<limits::IdGeneration> generations,
                              std::size_t max_bytes = kMaxTransferBytes);

/// @brief Decodes the result of EncodeGenerations. Returns nullopt if the bytes
/// are malformed.
std::optional<std::vector<limits::IdGeneration>> DecodeGenerations(
    std::string_view bytes);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_REQUEST_ID_TRANSFER_HPP
