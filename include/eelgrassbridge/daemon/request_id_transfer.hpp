// The byte form of request-id records that go with a group in a planned move.
#ifndef EELGRASSBRIDGE_DAEMON_REQUEST_ID_TRANSFER_HPP
#define EELGRASSBRIDGE_DAEMON_REQUEST_ID_TRANSFER_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/limits/request_id_record.hpp"

namespace eelgrassbridge::daemon {

/// @brief Leaves room for the rest of a frame of 1 MiB.
inline constexpr std::size_t kMaxTransferBytes = std::size_t{900} << 10;

/// @brief CBOR of the generations. If they do not fit, kept answers are
/// replaced by "ended unknown", largest first, which never runs an id twice;
/// if that does not suffice the result is empty and the receiver refuses ids
/// of earlier epochs.
std::string EncodeGenerations(std::vector<limits::IdGeneration> generations,
                              std::size_t max_bytes = kMaxTransferBytes);

/// @brief None for bytes that are no generations.
std::optional<std::vector<limits::IdGeneration>> DecodeGenerations(
    std::string_view bytes);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_REQUEST_ID_TRANSFER_HPP
