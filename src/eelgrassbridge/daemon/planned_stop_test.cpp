// Tests that a planned stop does not drop requests that arrive on connections
// that were idle when the stop began.
#include "request_path_test_support.hpp"

namespace eelgrassbridge::daemon {

TEST_CASE("a request on an idle connection is answered during a stop") {
  FakeTarget target;
  Daemon daemon(target.port, kPort);
  httplib::Client caller("127.0.0.1", kPort);
  caller.set_keep_alive(true);
  CHECK(OutcomeOf(caller.Get("/s/listing/view/1", kKey)) == "answered ");

  daemon.context.draining = true;
  std::thread stop([&] {
    DrainConnections(daemon.server);
    StopHttpServer(daemon.server);
  });
  httplib::Client late("127.0.0.1", kPort);
  while (late.Get("/health")) {
    std::this_thread::yield();
  }
  const auto result = caller.Get("/s/listing/view/2", kKey);
  stop.join();
  CHECK(OutcomeOf(result) == "answered ");
  CHECK(result->get_header_value("Connection") == "close");
  CHECK_FALSE(caller.Get("/s/listing/view/3", kKey));
  CHECK(target.runs == 2);
}

}  // namespace eelgrassbridge::daemon
