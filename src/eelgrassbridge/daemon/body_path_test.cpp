// Tests that bodies reach the target unchanged, and how requests fail when the
// memory for bodies is exhausted.
#include "request_path_test_support.hpp"

namespace eelgrassbridge::daemon {

TEST_CASE("multipart bodies and Range headers are passed on unchanged") {
  FakeTarget target;
  const Daemon daemon(target.port, kPort);
  httplib::Client caller("127.0.0.1", kPort);

  SUBCASE("the target receives all parts of an uploaded photo") {
    const httplib::MultipartFormDataItems parts{
        {"photo", "bytes of the yard", "yard.jpg", "image/jpeg"}};
    const auto result = caller.Post("/s/listing/view/1", kKey, parts);
    CHECK(OutcomeOf(result) == "answered ");
    CHECK(result->body.find("filename=\"yard.jpg\"") != std::string::npos);
    CHECK(result->body.find("bytes of the yard") != std::string::npos);
  }
  SUBCASE("only the target applies the range") {
    httplib::Headers headers = kKey;
    headers.emplace("Range", "bytes=2-5");
    const auto result = caller.Get("/s/listing/view/range", headers);
    CHECK(OutcomeOf(result) == "answered ");
    CHECK(result->status == 206);
    CHECK(result->body == "2345");
    CHECK(result->get_header_value("Content-Range") == "bytes 2-5/10");
  }
}

TEST_CASE("the outcome is correct if memory for a body is not available") {
  FakeTarget target;
  Daemon daemon(target.port, kPort);
  daemon.settings.max_body_bytes = kLargeBytes;
  httplib::Client caller("127.0.0.1", kPort);
  httplib::Headers headers = kKey;
  headers.emplace("Eelgrassbridge-Deadline-Ms", "200");
  const std::string large(kLargeBytes, 'x');

  SUBCASE("for a response body it is unknown, as the request may have run") {
    auto all = ReserveBody(daemon.context.answer_body_budget, kBodyBudgetBytes,
                           base::BootClock::now());
    REQUIRE(all);
    CHECK(OutcomeOf(caller.Get("/s/listing/view/large", headers)) ==
          "unknown answer_cut");
    CHECK(OutcomeOf(caller.Get("/s/listing/view/gone", headers)) ==
          "answered ");
    all.reset();
    const auto result = caller.Get("/s/listing/view/large", kKey);
    CHECK(OutcomeOf(result) == "answered ");
    CHECK(result->body.size() == kLargeBytes);
  }
  SUBCASE("for a request body it is not run") {
    auto all = ReserveBody(daemon.context.request_body_budget, kBodyBudgetBytes,
                           base::BootClock::now());
    REQUIRE(all);
    CHECK(OutcomeOf(caller.Post("/s/listing/view/1", kKey, large,
                                "application/octet-stream")) ==
          "not-run overloaded");
    CHECK(target.runs == 0);
    all.reset();
    CHECK(OutcomeOf(caller.Post("/s/listing/view/1", kKey, large,
                                "application/octet-stream")) == "answered ");
  }
  CHECK(daemon.context.request_body_budget.available == kBodyBudgetBytes);
}

}  // namespace eelgrassbridge::daemon
