// A daemon in front of a fake target, connected by real sockets.
#ifndef EELGRASSBRIDGE_DAEMON_REQUEST_PATH_TEST_SUPPORT_HPP
#define EELGRASSBRIDGE_DAEMON_REQUEST_PATH_TEST_SUPPORT_HPP

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <string>
#include <thread>

#include "eelgrassbridge/daemon/http_server.hpp"
#include "eelgrassbridge/daemon/standalone_view.hpp"
#include "http_test_support.hpp"

namespace eelgrassbridge::daemon {

inline constexpr std::size_t kLargeBytes = 2 * kUnreservedBodyBytes;

/// A target whose response is selected by the last segment of the path.
struct FakeTarget {
  FakeTarget() {
    this->server.Get("/s/listing/view/.*", [this](const auto& req, auto& res) {
      ++this->runs;
      Answer(req, res);
    });
    this->server.Post("/s/listing/view/.*", [this](const auto& req, auto& res) {
      ++this->runs;
      // The library delivers a multipart body as parts, not as bytes.
      for (const auto& [name, part] : req.files) {
        res.body += "filename=\"" + part.filename + "\" " + part.content;
      }
      res.set_content(req.files.empty() ? req.body : res.body,
                      "application/octet-stream");
    });
    this->server.Post("/s/listing/claim/.*",
                      [this](const auto& req, auto& res) {
                        ++this->runs;
                        Answer(req, res);
                      });
    this->port = StartTestServer(this->server, this->thread);
  }
  ~FakeTarget() {
    this->server.stop();
    this->thread.join();
  }

  static void Answer(const httplib::Request& req, httplib::Response& res) {
    if (req.path.ends_with("/not-run")) {
      res.status = 503;
      res.set_header("Eelgrassbridge-Not-Run", "1");
    } else if (req.path.ends_with("/cut")) {
      res.set_content_provider(100, "text/plain",
                               [](std::size_t, std::size_t, auto& sink) {
                                 sink.write("short", 5);
                                 return false;
                               });
    } else if (req.path.ends_with("/no-end")) {
      res.set_content_provider("text/plain", [](std::size_t, auto& sink) {
        sink.write("part", 4);
        return false;
      });
    } else if (req.path.ends_with("/range")) {
      res.set_content("0123456789", "text/plain");
    } else if (req.path.ends_with("/large")) {
      res.set_content(std::string(kLargeBytes, 'x'), "text/plain");
    } else if (req.path.ends_with("/headers")) {
      res.set_content(req.get_header_value("Eelgrassbridge-Group") + " " +
                          req.get_header_value("Eelgrassbridge-Epoch"),
                      "text/plain");
    } else if (req.path.ends_with("/slow")) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1500));
      res.set_content("late", "text/plain");
    } else {
      res.status = 404;
      res.set_content("no such listing", "text/plain");
    }
  }

  httplib::Server server;
  int port = 0;
  std::atomic<int> runs = 0;
  std::thread thread;
};

inline catalogue::Catalogue ListingCatalogue() {
  catalogue::Catalogue catalogue;
  catalogue.version = 1;
  catalogue::RequestKind view;
  view.name = "view";
  catalogue::Service listing;
  listing.name = "listing";
  listing.divided_by_key = true;
  listing.regions = {"sur"};
  catalogue::RequestKind claim;
  claim.name = "claim";
  claim.idempotent = false;
  listing.kinds = {view, claim};
  catalogue.services = {listing};
  catalogue.accounts = {{"far-account", {"litoral"}, {}}};
  return catalogue;
}

inline settings::Settings DaemonSettings(int target_port,
                                         std::uint16_t http_port) {
  settings::Settings settings;
  settings.name = "sur-cerro-1";
  settings.region = "sur";
  settings.data_centre = "sur-cerro";
  settings.http = {"127.0.0.1", http_port};
  settings.target.address = {"127.0.0.1",
                             static_cast<std::uint16_t>(target_port)};
  settings.target.service = "listing";
  settings.max_body_bytes = 4096;
  return settings;
}

/// A daemon that owns every group, in front of a fake target.
struct Daemon {
  Daemon(int target_port, std::uint16_t http_port)
      : settings(DaemonSettings(target_port, http_port)),
        context(this->settings) {
    this->context.routing.view =
        MakeStandaloneView(this->settings, ListingCatalogue());
    REQUIRE(StartHttpServer(this->server, this->context, this->admin));
  }
  ~Daemon() { StopHttpServer(this->server); }

  settings::Settings settings;
  RequestContext context;
  AdminHooks admin;
  HttpServer server;
};

/// @brief Lets the daemon forward all requests to an owner at this port.
inline void ForwardToOwner(Daemon& entry, std::uint16_t owner_port) {
  auto view = std::make_shared<RoutingView>(*entry.context.routing.view.load());
  view->owned.clear();
  const base::DaemonId owner_id{42};
  GroupMap::Chunk chunk(4, GroupOwner{owner_id, 1});
  view->groups["listing/sur"].chunks = {
      std::make_shared<const GroupMap::Chunk>(chunk)};
  PeerView peer;
  peer.id = owner_id;
  peer.http = {"127.0.0.1", owner_port};
  peer.region = "sur";
  peer.service = "listing";
  view->peers =
      std::make_shared<const std::unordered_map<base::DaemonId, PeerView>>(
          std::unordered_map<base::DaemonId, PeerView>{{owner_id, peer}});
  entry.context.routing.view = view;
}

inline const std::uint16_t kPort = TestPort(0);
inline const httplib::Headers kKey{{"Eelgrassbridge-Key", "pallet-1"}};

inline std::string OutcomeOf(const httplib::Result& result) {
  REQUIRE(result);
  return result->get_header_value("Eelgrassbridge-Outcome") + " " +
         result->get_header_value("Eelgrassbridge-Error");
}

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_REQUEST_PATH_TEST_SUPPORT_HPP
