// Tests the handling of requests over real sockets: the reported outcome must
// be correct for every behaviour of the target.
#include "request_path_test_support.hpp"

namespace eelgrassbridge::daemon {

TEST_CASE("the outcome is correct for each kind of target response") {
  FakeTarget target;
  const Daemon daemon(target.port, kPort);
  httplib::Client caller("127.0.0.1", kPort);

  SUBCASE("a complete response is passed on with its status") {
    const auto result = caller.Get("/s/listing/view/gone", kKey);
    CHECK(OutcomeOf(result) == "answered ");
    CHECK(result->status == 404);
    CHECK(result->body == "no such listing");
  }
  SUBCASE("a request that the target refuses to run has the outcome not run") {
    const auto result = caller.Get("/s/listing/view/not-run", kKey);
    CHECK(OutcomeOf(result) == "not-run target_refused");
  }
  SUBCASE("a truncated body is not reported as answered") {
    const auto result = caller.Get("/s/listing/view/cut", kKey);
    CHECK(OutcomeOf(result) == "unknown target_lost");
  }
  SUBCASE("a body that ends with the connection is not reported as answered") {
    const auto result = caller.Get("/s/listing/view/no-end", kKey);
    CHECK(OutcomeOf(result) == "unknown answer_cut");
  }
  SUBCASE("the outcome is unknown if the deadline passes during the run") {
    httplib::Headers headers = kKey;
    headers.emplace("Eelgrassbridge-Deadline-Ms", "1000");
    const auto result = caller.Get("/s/listing/view/slow", headers);
    CHECK(OutcomeOf(result) == "unknown target_timeout");
    CHECK(target.runs == 1);
  }
  SUBCASE("the request to the target carries the group and epoch") {
    const auto result = caller.Get("/s/listing/view/headers", kKey);
    CHECK(result->body.starts_with("listing/sur/"));
    CHECK(result->body.ends_with(" 1"));
  }
}

TEST_CASE("a request that the daemon refuses is not sent to the target") {
  FakeTarget target;
  const Daemon daemon(target.port, kPort);
  httplib::Client caller("127.0.0.1", kPort);
  caller.set_keep_alive(true);
  const std::string large(5000, 'x');

  CHECK(OutcomeOf(caller.Get("/s/other/view/1", kKey)) ==
        "not-run unknown_service");
  CHECK(OutcomeOf(caller.Get("/s/listing/other/1", kKey)) ==
        "not-run unknown_kind");
  CHECK(OutcomeOf(caller.Get("/s/listing/view/1")) == "not-run bad_request");
  CHECK(OutcomeOf(caller.Get("/s/listing/view/1",
                             {{"Eelgrassbridge-Key", "k"},
                              {"Eelgrassbridge-Account", "far-account"}})) ==
        "not-run wrong_region");
  CHECK(OutcomeOf(caller.Get(
            "/s/listing/view/1",
            {{"Eelgrassbridge-Key", "k"}, {"Eelgrassbridge-Hops", "9"}})) ==
        "not-run bad_request");
  CHECK(OutcomeOf(caller.Post("/s/listing/view/1", kKey, large,
                              "application/octet-stream")) ==
        "not-run body_too_large");
  CHECK(target.runs == 0);
  // The client can still send a request that runs.
  CHECK(OutcomeOf(caller.Post("/s/listing/view/1", kKey, "photo",
                              "application/octet-stream")) == "answered ");
  CHECK(target.runs == 1);
}

TEST_CASE("a non-idempotent request runs at most once per request id") {
  FakeTarget target;
  Daemon daemon(target.port, kPort);
  httplib::Client caller("127.0.0.1", kPort);
  const auto send = [&](const std::string& path, const std::string& id) {
    httplib::Headers headers = kKey;
    if (!id.empty()) {
      headers.emplace("Eelgrassbridge-Request-Id", id);
    }
    return caller.Post(path, headers, "claim", "text/plain");
  };
  const auto without_id = send("/s/listing/claim/1", "");
  CHECK(OutcomeOf(without_id) == "not-run id_required");
  CHECK(target.runs == 0);
  const std::string id =
      without_id->get_header_value("Eelgrassbridge-Request-Id");

  SUBCASE("a resend gets the stored answer") {
    const auto first = send("/s/listing/claim/1", id);
    const auto again = send("/s/listing/claim/1", id);
    CHECK(OutcomeOf(first) == "answered ");
    CHECK(OutcomeOf(again) == "answered ");
    CHECK(again->body == first->body);
    CHECK(again->status == first->status);
    CHECK(target.runs == 1);
  }
  SUBCASE("a resend after an unknown outcome stays unknown and does not run") {
    CHECK(OutcomeOf(send("/s/listing/claim/cut", id)) == "unknown target_lost");
    const auto again = send("/s/listing/claim/cut", id);
    CHECK(OutcomeOf(again).starts_with("unknown"));
    CHECK(target.runs == 1);
  }
  SUBCASE("an id can be used again after the target refused to run it") {
    CHECK(OutcomeOf(send("/s/listing/claim/not-run", id)) ==
          "not-run target_refused");
    CHECK(OutcomeOf(send("/s/listing/claim/not-run", id)) ==
          "not-run target_refused");
    CHECK(target.runs == 2);
  }
  SUBCASE("a resend refused without an id lookup has an unknown outcome") {
    CHECK(OutcomeOf(send("/s/listing/claim/1", id)) == "answered ");
    StopAdmission(daemon.context.target);
    CHECK(OutcomeOf(send("/s/listing/claim/1", id)) == "answered ");
    const httplib::Headers late{{"Eelgrassbridge-Key", "pallet-1"},
                                {"Eelgrassbridge-Request-Id", id},
                                {"Eelgrassbridge-Deadline-Ms", "0"}};
    CHECK(OutcomeOf(
              caller.Post("/s/listing/claim/1", late, "claim", "text/plain")) ==
          "unknown deadline_before_run");
    httplib::Headers first = late;
    first.emplace("Eelgrassbridge-First-Send", "1");
    CHECK(OutcomeOf(caller.Post("/s/listing/claim/1", first, "claim",
                                "text/plain")) ==
          "not-run deadline_before_run");
  }
  SUBCASE("an id of an older epoch or a malformed id is not run") {
    std::string older = id;
    older.replace(older.find("-1-"), 3, "-0-");
    CHECK(OutcomeOf(send("/s/listing/claim/1", older)) ==
          "unknown id_from_older_epoch");
    CHECK(OutcomeOf(send("/s/listing/claim/1", "nonsense")) ==
          "unknown bad_request");
    CHECK(target.runs == 0);
  }
}

TEST_CASE("a second daemon on the same address does not start") {
  const Daemon daemon(1, kPort);
  const settings::Settings settings = DaemonSettings(1, kPort);
  RequestContext context(settings);
  HttpServer server;
  CHECK_FALSE(StartHttpServer(server, context, AdminHooks{}).has_value());
}

TEST_CASE("a request to an unreachable target has the outcome not run") {
  const Daemon daemon(1, kPort);
  httplib::Client caller("127.0.0.1", kPort);
  CHECK(OutcomeOf(caller.Get("/s/listing/view/1", kKey)) ==
        "not-run target_unreachable");
}

TEST_CASE("a request is forwarded to the owner by another daemon") {
  FakeTarget target;
  const Daemon owner(target.port, kPort);
  Daemon entry(1, kPort + 1);
  ForwardToOwner(entry, kPort);

  httplib::Client caller("127.0.0.1", kPort + 1);
  const auto result = caller.Post("/s/listing/view/1", kKey, "photo",
                                  "application/octet-stream");
  CHECK(OutcomeOf(result) == "answered ");
  CHECK(result->body == "photo");
  CHECK(result->get_header_value("Eelgrassbridge-Owner") ==
        "127.0.0.1:" + std::to_string(kPort));
}

}  // namespace eelgrassbridge::daemon
