// Reading of messages in pieces of any size.
#include "eelgrassbridge/http/parser.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace eelgrassbridge::http {
namespace {

struct Seen {
  std::vector<std::string> targets;
  std::vector<std::string> bodies;
  ParseState last = ParseState::kMore;
};

/// Feeds a stream in pieces and collects whole requests.
Seen FeedInPieces(std::string_view stream, std::size_t piece) {
  MessageParser parser(MessageKind::kRequest);
  Seen seen;
  std::string input;
  std::string body;
  std::size_t at = 0;
  while (at < stream.size() || !input.empty()) {
    if (input.empty() || parser.state == ParseState::kMore) {
      const std::size_t size = std::min(piece, stream.size() - at);
      input += stream.substr(at, size);
      at += size;
      if (size == 0 && input.empty()) {
        break;
      }
    }
    const std::size_t before = input.size();
    input.erase(0, Parse(parser, input));
    body += parser.body;
    parser.body.clear();
    seen.last = parser.state;
    if (parser.state == ParseState::kHead) {
      seen.targets.push_back(TakeRequestHead(parser).target);
    } else if (parser.state == ParseState::kComplete) {
      seen.bodies.push_back(body);
      body.clear();
      Reset(parser);
    } else if (parser.state != ParseState::kMore ||
               (before == input.size() && at == stream.size())) {
      break;
    }
  }
  return seen;
}

TEST_CASE("pipelined requests stay apart, whatever the pieces") {
  // Guards against bytes of one request being taken for another.
  const std::string stream =
      "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
      "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
      "GET /d HTTP/1.1\r\nHost: h\r\n\r\n";
  rc::check("four requests", [&stream] {
    const auto piece = *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
    const Seen seen = FeedInPieces(stream, piece);
    RC_ASSERT(seen.targets ==
              (std::vector<std::string>{"/a", "/b", "/c", "/d"}));
    RC_ASSERT(seen.bodies ==
              (std::vector<std::string>{"", "hello", "abcde", ""}));
  });
}

TEST_CASE("a request with two framings is refused") {
  // Guards against a request smuggled inside another one's body.
  const Seen seen = FeedInPieces(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      4096);
  CHECK(seen.last == ParseState::kInvalid);
}

TEST_CASE("a response whose body ends with the connection") {
  MessageParser parser(MessageKind::kResponse);
  std::string input = "HTTP/1.1 200 OK\r\n\r\npart";
  input.erase(0, Parse(parser, input));
  REQUIRE(parser.state == ParseState::kHead);
  input.erase(0, Parse(parser, input));
  CHECK(parser.state == ParseState::kMore);
  CHECK(parser.body == "part");
  ParseEnd(parser);
  CHECK(parser.state == ParseState::kComplete);
}

TEST_CASE("a response that ends before its length is invalid") {
  // Guards against a cut answer that looks complete.
  MessageParser parser(MessageKind::kResponse);
  std::string input = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart";
  input.erase(0, Parse(parser, input));
  input.erase(0, Parse(parser, input));
  ParseEnd(parser);
  CHECK(parser.state == ParseState::kInvalid);
}

TEST_CASE("headers of one connection are not passed on") {
  const Headers headers = {{"Connection", "close, X-Private"},
                           {"x-private", "1"},
                           {"Transfer-Encoding", "chunked"},
                           {"X-Kept", "2"}};
  const Headers kept = EndToEndHeaders(headers);
  REQUIRE(kept.size() == 1);
  CHECK(kept[0].name == "X-Kept");
}

}  // namespace
}  // namespace eelgrassbridge::http
