// Encoding, decoding and validation of frames. A frame holds one protobuf
// Envelope.
#ifndef EELGRASSBRIDGE_WIRE_CODEC_HPP
#define EELGRASSBRIDGE_WIRE_CODEC_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/wire/message.hpp"

namespace eelgrassbridge::wire {

/// @brief Version of the protocol; frames of other versions are rejected.
inline constexpr std::uint32_t kProtocolVersion = 1;

/// @brief Maximum size of a frame in bytes; enough for a catalogue with several
/// thousand accounts.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 20;

/// @brief Approximate size in bytes of the parts into which the complete lists
/// for a joining daemon are split.
inline constexpr std::size_t kJoinPartBytes = std::size_t{64} << 10;

/// @brief Maximum length of a name, address or operation id in bytes.
inline constexpr std::size_t kMaxNameBytes = 256;

/// @brief Maximum number of elements in one list of a message.
inline constexpr std::size_t kMaxListItems = 16384;

/// @brief Encodes an envelope. Fails with kFrameInvalid if the frame would
/// exceed kMaxFrameBytes.
base::Result<std::string> Encode(const Envelope& envelope);

/// @brief Decodes and validates a frame. Fails with kFrameInvalid if it is too
/// large, malformed, of another protocol version or site, or exceeds a limit.
base::Result<Envelope> Decode(std::string_view frame, std::string_view site);

}  // namespace eelgrassbridge::wire

#endif  // EELGRASSBRIDGE_WIRE_CODEC_HPP
