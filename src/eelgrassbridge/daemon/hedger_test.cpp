// Tests hedging over real sockets: if a target is slow, the answer of another
// target is used and the slow copy is cancelled.
#include "eelgrassbridge/daemon/hedger.hpp"

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <string>

#include "eelgrassbridge/daemon/http_server.hpp"
#include "eelgrassbridge/daemon/standalone_view.hpp"
#include "http_test_support.hpp"

namespace eelgrassbridge::daemon {

namespace {

const std::uint16_t kNearPort = TestPort(5);

struct NamedTarget {
  explicit NamedTarget(std::string own_name) : name(std::move(own_name)) {
    this->server.Get("/s/booking/view/.*", [this](const auto&, auto& res) {
      if (this->is_slow) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1500));
      }
      res.set_content(this->name, "text/plain");
    });
    this->port = StartTestServer(this->server, this->thread);
  }
  ~NamedTarget() {
    this->server.stop();
    this->thread.join();
  }

  std::string name;
  httplib::Server server;
  std::atomic<bool> is_slow = false;
  int port = 0;
  std::thread thread;
};

struct BookingDaemon {
  BookingDaemon(int target_port, std::uint16_t port, std::string data_centre)
      : settings(Make(target_port, port, std::move(data_centre))),
        context(this->settings),
        hedger(this->context) {
    this->context.hedger = &this->hedger;
    catalogue::Catalogue catalogue;
    catalogue::RequestKind view;
    view.name = "view";
    catalogue::Service booking;
    booking.name = "booking";
    booking.regions = {"sur"};
    booking.kinds = {view};
    catalogue.services = {booking};
    this->context.routing.view = MakeStandaloneView(this->settings, catalogue);
    REQUIRE(StartHttpServer(this->server, this->context, this->admin));
  }
  ~BookingDaemon() { StopHttpServer(this->server); }

  static settings::Settings Make(int target_port,
                                 std::uint16_t port,
                                 std::string data_centre) {
    settings::Settings made;
    made.region = "sur";
    made.data_centre = std::move(data_centre);
    made.http = {"127.0.0.1", port};
    made.target.address = {"127.0.0.1",
                           static_cast<std::uint16_t>(target_port)};
    made.target.service = "booking";
    return made;
  }

  settings::Settings settings;
  RequestContext context;
  Hedger hedger;
  AdminHooks admin;
  HttpServer server;
};

void AddPeer(BookingDaemon& entry, const BookingDaemon& other) {
  auto view = std::make_shared<RoutingView>(*entry.context.routing.view.load());
  PeerView peer;
  peer.id = other.context.routing.view.load()->self;
  peer.http = other.settings.http;
  peer.data_centre = other.settings.data_centre;
  peer.region = "sur";
  peer.service = "booking";
  peer.accepts_requests = true;
  std::unordered_map<base::DaemonId, PeerView> peers{{peer.id, peer}};
  view->peers =
      std::make_shared<const std::unordered_map<base::DaemonId, PeerView>>(
          std::move(peers));
  entry.context.routing.view = view;
}

}  // namespace

TEST_CASE("a hedge at another target answers a request to a slow target") {
  NamedTarget near_target("near");
  NamedTarget far_target("far");
  BookingDaemon near(near_target.port, kNearPort, "sur-cerro");
  const BookingDaemon far(far_target.port, TestPort(6), "sur-canelones");
  AddPeer(near, far);
  httplib::Client caller("127.0.0.1", kNearPort);
  caller.set_keep_alive(true);
  caller.set_tcp_nodelay(true);

  // Fills a window of samples, after which the hedge delay is known.
  for (int i = 0; i < 450; ++i) {
    const auto result = caller.Get("/s/booking/view/1");
    REQUIRE(result);
    REQUIRE(result->status == 200);
  }
  near_target.is_slow = true;
  const auto result = caller.Get("/s/booking/view/1");
  REQUIRE(result);
  CHECK(result->status == 200);
  CHECK(result->body == "far");
  CHECK(near.context.request_counters.hedged > 0);

  // The cancelled copy has released its slot and is not counted as a target
  // death.
  CHECK(near.context.request_counters.target_deaths == 0);
  CHECK(near.context.target.in_flight == 0);
}

}  // namespace eelgrassbridge::daemon
