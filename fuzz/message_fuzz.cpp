// Fuzzes the decoders of network input: HTTP messages of callers, targets and
// daemons, the platform's JSON bodies, and stored rows. No input may crash
// them.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "eelgrassbridge/http/parser.hpp"
#include "eelgrassbridge/node/member.hpp"
#include "eelgrassbridge/node/request.hpp"
#include "eelgrassbridge/ranges/lease.hpp"
#include "json_codec.hpp"

namespace {

using eelgrassbridge::http::MessageKind;
using eelgrassbridge::http::MessageParser;
using eelgrassbridge::http::ParseState;

/// Parses a stream of messages in pieces; the first byte of the input gives
/// their size.
void ParseMessages(std::string_view text, MessageKind kind) {
  if (text.empty()) {
    return;
  }
  const std::size_t piece_size = 1 + static_cast<unsigned char>(text.front());
  text.remove_prefix(1);
  MessageParser parser(kind);
  std::string input;
  while (!text.empty() || !input.empty()) {
    input += text.substr(0, piece_size);
    text.remove_prefix(std::min(piece_size, text.size()));
    const std::size_t before = input.size();
    input.erase(0, eelgrassbridge::http::Parse(parser, input));
    if (parser.state == ParseState::kHead) {
      if (kind == MessageKind::kRequest) {
        eelgrassbridge::http::EndToEndHeaders(TakeRequestHead(parser).headers);
      } else {
        eelgrassbridge::http::EndToEndHeaders(TakeResponseHead(parser).headers);
      }
    } else if (parser.state == ParseState::kComplete) {
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
