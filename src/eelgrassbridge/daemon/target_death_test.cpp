// Tests that every target death is counted. Deaths of a target that restarted
// between two polls were counted only once, so the request that killed it was
// not quarantined.
#include "request_path_test_support.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// A target that each request kills. Clearing is_dead restarts it.
struct DyingTarget {
  DyingTarget() {
    this->server.Get("/target/instance", [this](const auto&, auto& res) {
      res.status = this->is_dead ? 503 : 200;
      if (!this->is_dead) {
        res.set_content(R"({"instance":")" + std::to_string(this->runs) + "\"}",
                        "application/json");
      }
    });
    this->server.Get("/s/.*", [this](const auto& req, auto& res) {
      ++this->runs;
      this->is_dead = true;
      FakeTarget::Answer(req, res);
    });
    this->port = this->server.bind_to_any_port("127.0.0.1");
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
  }
  ~DyingTarget() {
    this->server.stop();
    this->thread.join();
  }

  httplib::Server server;
  int port = 0;
  std::atomic<int> runs = 0;
  std::atomic<bool> is_dead = false;
  std::thread thread;
};

}  // namespace

TEST_CASE("a request is quarantined after it has killed a target twice") {
  DyingTarget target;
  const Daemon daemon(target.port, kPort);
  httplib::Client caller("127.0.0.1", kPort);

  CHECK(OutcomeOf(caller.Get("/s/listing/view/cut", kKey)) ==
        "unknown target_lost");
  CHECK(OutcomeOf(caller.Get("/s/listing/view/other", kKey)) ==
        "not-run target_unreachable");
  target.is_dead = false;
  CHECK(OutcomeOf(caller.Get("/s/listing/view/cut", kKey)) ==
        "unknown target_lost");
  target.is_dead = false;
  CHECK(OutcomeOf(caller.Get("/s/listing/view/cut", kKey)) ==
        "not-run quarantined");
  CHECK(target.runs == 2);
}

}  // namespace eelgrassbridge::daemon
