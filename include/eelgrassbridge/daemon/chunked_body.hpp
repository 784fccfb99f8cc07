// Decoder of chunked response bodies. The HTTP library takes a body for
// complete if anything but a line end follows the data of a chunk, also the end
// of the connection after half of the line end.
#ifndef EELGRASSBRIDGE_DAEMON_CHUNKED_BODY_HPP
#define EELGRASSBRIDGE_DAEMON_CHUNKED_BODY_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "eelgrassbridge/http/parser.hpp"

namespace eelgrassbridge::daemon {

struct ChunkedBody {
  ChunkedBody();

  http::MessageParser parser{http::MessageKind::kResponse};
};

enum class ChunkRead : std::uint8_t { kMore, kComplete, kInvalid };

/// @brief Decodes the next bytes of the body and appends its data to `body`.
/// Bytes after the end of the body are ignored.
ChunkRead Decode(ChunkedBody& chunked,
                 std::string_view bytes,
                 std::string& body);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CHUNKED_BODY_HPP
