// Encoding of request terms, not-run proofs, header removal and cancellation.
#include "eelgrassbridge/node/request.hpp"

#include <doctest/doctest.h>

namespace eelgrassbridge::node {
namespace {

TEST_CASE("decoding encoded terms gives the same terms") {
  // Guards against terms that are lost or mixed up between two daemons.
  RequestTerms terms;
  terms.request_class = catalogue::RequestClass::kUpload;
  terms.priority = 2;
  terms.objective = base::milliseconds{600};
  terms.max_wait = base::milliseconds{240};
  for (const auto key :
       {std::optional<std::uint32_t>{}, std::optional<std::uint32_t>{65535}}) {
    terms.key = key;
    RequestTerms decoded;
    REQUIRE(DecodeTerms(EncodeTerms(terms), decoded));
    CHECK(decoded.request_class == terms.request_class);
    CHECK(decoded.priority == terms.priority);
    CHECK(decoded.objective == terms.objective);
    CHECK(decoded.max_wait == terms.max_wait);
    CHECK(decoded.key == terms.key);
  }
}

TEST_CASE("invalid terms are rejected") {
  // Guards against running a request whose terms are truncated or malformed.
  RequestTerms terms;
  for (const char* text : {"", "idempotent", "other;1;2;3;", "upload;x;2;3;",
                           "upload;1;2;3;key", "upload;1;;3;"}) {
    CAPTURE(text);
    CHECK(!DecodeTerms(text, terms));
  }
}

TEST_CASE("terms with numbers that do not fit are rejected") {
  // Guards against a key beyond the last one, which is counted outside the
  // array of counts, and against times that overflow.
  RequestTerms terms;
  for (const char* text :
       {"upload;1;2;3;65536", "upload;1;2;3;4294967301",
        "upload;4294967297;2;3;", "upload;1;9223372036854775807;3;",
        "upload;1;2;18446744073709551615;"}) {
    CAPTURE(std::string(text));
    CHECK(!DecodeTerms(text, terms));
  }
}

TEST_CASE("only an answer that states it proves that a request has not run") {
  // Guards against telling a caller that its request has not run although it
  // may have.
  HeaderNames names;
  names.not_run = "Not-Run";
  http::ResponseHead head;
  head.status = 503;
  CHECK(!NotRunProof::FromTarget(head, names));
  CHECK(!NotRunProof::FromDaemon(head));
  head.headers = {{"not-run", "1"}};
  CHECK(NotRunProof::FromTarget(head, names));
  head.headers = {{std::string(kOutcomeHeader), "unknown"}};
  CHECK(!NotRunProof::FromDaemon(head));
  head.headers = {{std::string(kOutcomeHeader),
                   std::string(base::OutcomeName(base::Outcome::kNotRun))}};
  CHECK(NotRunProof::FromDaemon(head));
  head.status = 421;
  head.headers.clear();
  CHECK(NotRunProof::FromTarget(head, names));
}

TEST_CASE("headers that only daemons set are removed") {
  // Guards against callers and targets that set such a header, in any case of
  // letters.
  http::Headers headers = {{"eelgrassbridge-Caller", "x"}, {"Accept", "y"}};
  RemoveInternalHeaders(headers);
  REQUIRE(headers.size() == 1);
  CHECK(headers[0].name == "Accept");
}

TEST_CASE("only the first cancellation takes effect") {
  // Guards against a deadline that replaces the cause or aborts twice.
  Cancellation cancellation;
  int calls = 0;
  cancellation.abort = [&calls] { ++calls; };
  Cancel(cancellation, base::ErrorKind::kCancelled);
  Cancel(cancellation, base::ErrorKind::kTargetTimeout);
  CHECK(calls == 1);
  CHECK(cancellation.cause == base::ErrorKind::kCancelled);
}

}  // namespace
}  // namespace eelgrassbridge::node
