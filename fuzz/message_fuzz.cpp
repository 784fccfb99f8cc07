// Fuzzes the decoders of network input: HTTP messages of callers, targets and
// daemons, the platform's JSON bodies, and stored rows. No input may crash
// them, and a request that is passed on keeps its body.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "eelgrassbridge/http/parser.hpp"
#include "eelgrassbridge/node/member.hpp"
#include "eelgrassbridge/node/request.hpp"
#include "eelgrassbridge/ranges/lease.hpp"
#include "json_codec.hpp"

namespace {

using eelgrassbridge::http::Framing;
using eelgrassbridge::http::MessageKind;
using eelgrassbridge::http::MessageParser;
using eelgrassbridge::http::ParseState;
using eelgrassbridge::http::RequestHead;

/// A request as it was received.
struct ReceivedRequest {
  RequestHead head;
  std::string body;
};

/// Aborts if a daemon that receives the request as it is passed on would get
/// another body.
void CheckForwarded(const ReceivedRequest& request) {
  if (request.head.length && *request.head.length != request.body.size()) {
    std::abort();
  }
  const bool chunked = request.head.has_body && !request.head.length;
  Framing framing;
  if (request.head.has_body) {
    framing.kind = chunked ? Framing::Kind::kChunked : Framing::Kind::kLength;
    framing.length = request.body.size();
  }
  std::string input = eelgrassbridge::http::FormatRequestHead(
      request.head.method, request.head.target,
      eelgrassbridge::http::EndToEndHeaders(request.head.headers), framing);
  if (chunked && !request.body.empty()) {
    input += eelgrassbridge::http::FormatChunk(request.body);
  }
  input += chunked ? eelgrassbridge::http::FormatChunk({}) : request.body;
  MessageParser parser(MessageKind::kRequest);
  while (!input.empty()) {
    const std::size_t consumed = eelgrassbridge::http::Parse(parser, input);
    input.erase(0, consumed);
    if (parser.state == ParseState::kInvalid ||
        parser.state == ParseState::kHeadTooLarge ||
        parser.state == ParseState::kComplete) {
      break;
    }
  }
  // The parser may reject a head that is passed on, but must not read another
  // body from it.
  if (parser.state == ParseState::kComplete &&
      (parser.body != request.body || !input.empty())) {
    std::abort();
  }
}

/// Parses a stream of messages in pieces; the first byte of the input gives
/// their size.
void ParseMessages(std::string_view text, MessageKind kind) {
  if (text.empty()) {
    return;
  }
  const std::size_t piece_size = 1 + static_cast<unsigned char>(text.front());
  text.remove_prefix(1);
  MessageParser parser(kind);
  ReceivedRequest request;
  std::string input;
  while (!text.empty() || !input.empty()) {
    input += text.substr(0, piece_size);
    text.remove_prefix(std::min(piece_size, text.size()));
    const std::size_t before = input.size();
    input.erase(0, eelgrassbridge::http::Parse(parser, input));
    request.body += parser.body;
    parser.body.clear();
    if (parser.state == ParseState::kHead) {
      if (kind == MessageKind::kRequest) {
        request.head = TakeRequestHead(parser);
      } else {
        eelgrassbridge::http::EndToEndHeaders(TakeResponseHead(parser).headers);
      }
    } else if (parser.state == ParseState::kComplete) {
      if (kind == MessageKind::kRequest) {
        CheckForwarded(request);
      }
      request = {};
      Reset(parser);
    } else if (parser.state != ParseState::kMore ||
               (text.empty() && before == input.size())) {
      return;
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  ParseMessages(text, MessageKind::kRequest);
  ParseMessages(text, MessageKind::kResponse);
  bool more = false;
  static_cast<void>(eelgrassbridge::platform::DecodeReport("target", text));
  static_cast<void>(eelgrassbridge::platform::DecodeRoutes(text));
  static_cast<void>(eelgrassbridge::platform::DecodePage(text, more));
  static_cast<void>(eelgrassbridge::platform::DecodeCommit(text, true));
  static_cast<void>(eelgrassbridge::ranges::DecodeMap(text));
  static_cast<void>(eelgrassbridge::ranges::DecodeLease(text));
  static_cast<void>(eelgrassbridge::node::DecodeMember(text));
  eelgrassbridge::node::RequestTerms terms;
  static_cast<void>(eelgrassbridge::node::DecodeTerms(text, terms));
  return 0;
}
