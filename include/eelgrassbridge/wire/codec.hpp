// Frames on the wire: one protobuf Envelope each.
#ifndef EELGRASSBRIDGE_WIRE_CODEC_HPP
#define EELGRASSBRIDGE_WIRE_CODEC_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/wire/message.hpp"

namespace eelgrassbridge::wire {

/// @brief Version of the messages; another version is refused.
inline constexpr std::uint32_t kProtocolVersion = 1;

/// @brief Largest frame in bytes. A catalogue of several thousand accounts
/// fits; full lists are split into parts of kJoinPartBytes.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 20;
inline constexpr std::size_t kJoinPartBytes = std::size_t{64} << 10;

/// @brief Longest name, address or operation id in bytes.
inline constexpr std::size_t kMaxNameBytes = 256;

/// @brief Most items in one list of a message.
inline constexpr std::size_t kMaxListItems = 16384;

/// @brief The frame of an envelope, or kFrameInvalid if it breaks a limit.
base::Result<std::string> Encode(const Envelope& envelope);

/// @brief The envelope of a frame. kFrameInvalid for a frame that is too
/// large, malformed, of another protocol version or site, or out of limits.
base::Result<Envelope> Decode(std::string_view frame, std::string_view site);

}  // namespace eelgrassbridge::wire

#endif  // EELGRASSBRIDGE_WIRE_CODEC_HPP
