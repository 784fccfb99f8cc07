// Decodes chunks with the parser of HTTP messages, behind a fixed head.
#include "eelgrassbridge/daemon/chunked_body.hpp"

namespace eelgrassbridge::daemon {

ChunkedBody::ChunkedBody() {
  std::string_view head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  while (!head.empty()) {
    head.remove_prefix(http::Parse(this->parser, head));
  }
}

ChunkRead Decode(ChunkedBody& chunked,
                 std::string_view bytes,
                 std::string& body) {
  http::Parse(chunked.parser, bytes);
  body += chunked.parser.body;
  chunked.parser.body.clear();
  switch (chunked.parser.state) {
    case http::ParseState::kMore:
      return ChunkRead::kMore;
    case http::ParseState::kComplete:
      return ChunkRead::kComplete;
    default:
      return ChunkRead::kInvalid;
  }
}

}  // namespace eelgrassbridge::daemon
