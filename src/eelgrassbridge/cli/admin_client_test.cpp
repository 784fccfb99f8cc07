// Answers to commands. Guards against commands that take a malformed answer, or
// a part of one, for that of a daemon.
#include "eelgrassbridge/cli/admin_client.hpp"

#include <doctest/doctest.h>

#include "raw_server.hpp"

namespace eelgrassbridge::cli {

namespace {

AdminReply ReplyOf(const std::string& answer) {
  const test::RawServer server(answer);
  AdminClient client;
  client.address = {"127.0.0.1", server.port};
  client.token = "token";
  return Get(client, "/admin/x");
}

TEST_CASE("a malformed answer is not that of a daemon") {
  const std::string length = "Content-Length: 2\r\n";
  CHECK(ReplyOf("HTTP/1.1 200 OK\r\n" + length + "\r\n{}").body == "{}");
  for (const std::string& head :
       {"HTTP/1.1 000 None\r\n" + length, "HTTP/1.1 600 High\r\n" + length,
        "HTTP/1.1 200 OK\r\nX Bad: v\r\n" + length,
        "HTTP/1.1 200 OK\r\nX: a%0d%0aY: b\r\n" + length,
        std::string("HTTP/1.1 200 OK\r\n"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n")}) {
    INFO(head);
    const AdminReply reply = ReplyOf(head + "\r\n{}");
    REQUIRE(reply.error);
    CHECK(reply.error->kind == base::ErrorKind::kPeerLost);
    CHECK(reply.body.empty());
  }
}

}  // namespace

}  // namespace eelgrassbridge::cli
