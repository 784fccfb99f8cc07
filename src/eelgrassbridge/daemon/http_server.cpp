// Set-up of the HTTP library's server and conversion of its types.
#include "eelgrassbridge/daemon/http_server.hpp"

#include <httplib.h>
#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>

#include <atomic>

#include "eelgrassbridge/daemon/admin_http.hpp"
#include "eelgrassbridge/daemon/connection_workers.hpp"
#include "eelgrassbridge/daemon/request_handler.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// Longer than the idle limit of a daemon's own client connections (3 s), so
/// that the client side closes first.
constexpr time_t kKeepAliveSeconds = 10;
constexpr std::size_t kKeepAliveRequests = 1'000'000'000;
constexpr time_t kReadTimeoutSeconds = 10;
/// Connections that wait to be accepted. The library asks for 5, which made
/// callers' connections fail when 64 of them came at once.
constexpr int kListenBacklog = 1024;
/// Longest wait for room for a request body. The caller's connection is not
/// read meanwhile, so a caller that is refused has sent little in vain.
constexpr base::Duration kBodyRoomWait = base::seconds{2};
/// Keeps the content type of a multipart body away from the library, which
/// would take the body apart instead of giving its bytes.
constexpr const char* kMultipartTypeHeader = "Eelgrassbridge-Multipart-Type";

/// @brief Stops the library from acting on multipart bodies and on Range, which
/// are for the target to interpret.
httplib::Server::HandlerResponse PassUninterpreted(
    const httplib::Request& request,
    httplib::Response& /*response*/) {
  // The hook is given a const reference to a request that the library made as
  // a local variable that is not const.
  auto& changed = const_cast<httplib::Request&>(request);
  changed.ranges.clear();
  changed.headers.erase(kMultipartTypeHeader);
  if (changed.is_multipart_form_data()) {
    const std::string type = changed.get_header_value("Content-Type");
    changed.headers.erase("Content-Type");
    changed.headers.emplace(kMultipartTypeHeader, type);
  }
  return httplib::Server::HandlerResponse::Unhandled;
}

CallerRequest ToCallerRequest(const httplib::Request& request) {
  CallerRequest converted;
  converted.method = request.method;
  converted.target = request.target;
  for (const auto& [name, value] : request.headers) {
    if (name == kMultipartTypeHeader) {
      converted.headers.push_back({"Content-Type", value});
    } else if (!IsHopByHopHeader(name) && name != "Content-Encoding") {
      // The library has decoded the body already.
      converted.headers.push_back({name, value});
    }
  }
  return converted;
}

void WriteAnswer(const RequestContext& context,
                 CallerAnswer answer,
                 httplib::Response& response,
                 bool must_close) {
  response.status = answer.status;
  std::string content_type;
  for (Header& header : answer.headers) {
    if (header.name == "Content-Type") {
      content_type = header.value;
    } else {
      response.headers.emplace(std::move(header.name), std::move(header.value));
    }
  }
  response.headers.emplace(kOutcomeHeader,
                           std::string(base::OutcomeName(answer.outcome)));
  if (must_close || context.draining.load()) {
    response.headers.emplace("Connection", "close");
  }
  if (answer.body.empty()) {
    response.set_content("", content_type);
    return;
  }
  // A content provider keeps the library from compressing a body that the
  // target may have encoded already.
  struct HeldBody {
    std::string bytes;
    BodyReservation reservation;
  };
  auto body = std::make_shared<HeldBody>(
      HeldBody{std::move(answer.body), std::move(answer.reservation)});
  response.set_content_provider(
      body->bytes.size(), content_type,
      [body](std::size_t offset, std::size_t length, httplib::DataSink& sink) {
        return sink.write(body->bytes.data() + offset, length);
      });
}

void Refuse(const RequestContext& context,
            base::ErrorKind kind,
            std::string_view detail,
            httplib::Response& response) {
  // The body was not read, so the connection cannot carry another request.
  WriteAnswer(context, ErrorAnswer(kind, detail), response, true);
}

bool IsRefusedAtOnce(const RequestContext& context,
                     httplib::Response& response) {
  const bool is_refused = IsOverflowWorker();
  if (is_refused) {
    Refuse(context, base::ErrorKind::kOverloaded,
           "all connections of this daemon are in use", response);
  }
  return is_refused;
}

void HandleWithoutBody(RequestContext& context,
                       const httplib::Request& request,
                       httplib::Response& response) {
  if (IsRefusedAtOnce(context, response)) {
    return;
  }
  if (request.get_header_value<std::uint64_t>("Content-Length") > 0 ||
      request.has_header("Transfer-Encoding")) {
    Refuse(context, base::ErrorKind::kBadRequest,
           "a body is accepted with POST, PUT, PATCH and DELETE only",
           response);
    return;
  }
  WriteAnswer(context, HandleRequest(context, ToCallerRequest(request)),
              response, false);
}

void HandleWithBody(RequestContext& context,
                    const httplib::Request& request,
                    httplib::Response& response,
                    const httplib::ContentReader& reader) {
  if (IsRefusedAtOnce(context, response)) {
    return;
  }
  const std::uint64_t max = context.settings.max_body_bytes;
  const std::uint64_t announced =
      request.has_header("Content-Length")
          ? request.get_header_value<std::uint64_t>("Content-Length")
          : max;
  if (announced > max) {
    Refuse(context, base::ErrorKind::kBodyTooLarge,
           fmt::format("a body has at most {} bytes", max), response);
    return;
  }
  const auto reservation = ReserveBody(context.request_body_budget, announced,
                                       base::BootClock::now() + kBodyRoomWait);
  if (!reservation) {
    Refuse(context, base::ErrorKind::kOverloaded,
           "no room for the request body became free in time", response);
    return;
  }
  CallerRequest converted = ToCallerRequest(request);
  bool is_too_large = false;
  const bool is_whole = reader([&](const char* data, std::size_t size) {
    is_too_large = converted.body.size() + size > max;
    if (!is_too_large) {
      converted.body.append(data, size);
    }
    return !is_too_large;
  });
  if (is_too_large) {
    Refuse(context, base::ErrorKind::kBodyTooLarge,
           fmt::format("a body has at most {} bytes", max), response);
    return;
  }
  if (!is_whole) {
    Refuse(context, base::ErrorKind::kBadRequest,
           "the request body ended early", response);
    return;
  }
  WriteAnswer(context, HandleRequest(context, std::move(converted)), response,
              false);
}

void AddStatusHandlers(httplib::Server& server, RequestContext& context) {
  server.Get("/metrics", [&](const httplib::Request&, httplib::Response& res) {
    res.set_content(base::PrometheusText(context.counters),
                    "text/plain; version=0.0.4");
  });
  server.Get("/health", [](const httplib::Request&, httplib::Response& res) {
    res.set_content("ok\n", "text/plain");
  });
  server.Get("/ready", [&](const httplib::Request&, httplib::Response& res) {
    const auto view = context.routing.view.load();
    const bool is_ready =
        view != nullptr && view->ready && !context.draining.load();
    res.status = is_ready ? 200 : 503;
    res.set_content(is_ready ? "ready\n" : "not ready\n", "text/plain");
  });
}

base::Result<std::unique_ptr<httplib::Server>> MakeServer(
    HttpServer& server,
    const settings::Settings& settings) {
  if (!settings.tls) {
    return std::make_unique<httplib::Server>();
  }
  BOOST_OUTCOME_TRY(pair, LoadTlsPair(*settings.tls));
  server.tls.pair = pair;
  auto secure = std::make_unique<httplib::SSLServer>([&](SSL_CTX& context) {
    UseTlsCredentials(&context, server.tls);
    return true;
  });
  return std::unique_ptr<httplib::Server>(std::move(secure));
}

void AddCallerHandlers(httplib::Server& server, RequestContext& context) {
  const auto without_body = [&](const httplib::Request& request,
                                httplib::Response& response) {
    HandleWithoutBody(context, request, response);
  };
  const auto with_body = [&](const httplib::Request& request,
                             httplib::Response& response,
                             const httplib::ContentReader& reader) {
    HandleWithBody(context, request, response, reader);
  };
  server.set_pre_routing_handler(PassUninterpreted);
  constexpr const char* kPattern = "/s/.*";
  server.Get(kPattern, without_body);
  server.Options(kPattern, without_body);
  server.Post(kPattern, with_body);
  server.Put(kPattern, with_body);
  server.Patch(kPattern, with_body);
  server.Delete(kPattern, with_body);
}

}  // namespace

HttpServer::HttpServer() = default;
HttpServer::~HttpServer() = default;

base::Result<void> StartHttpServer(HttpServer& server,
                                   RequestContext& context,
                                   const AdminHooks& admin) {
  BOOST_OUTCOME_TRY(made, MakeServer(server, context.settings));
  server.server = std::move(made);
  httplib::Server& library = *server.server;
  library.set_tcp_nodelay(true);
  library.set_keep_alive_max_count(kKeepAliveRequests);
  library.set_keep_alive_timeout(kKeepAliveSeconds);
  library.set_read_timeout(kReadTimeoutSeconds);
  const std::uint32_t workers = context.settings.http_workers;
  library.new_task_queue = [workers] { return new ConnectionWorkers(workers); };
  AddStatusHandlers(library, context);
  AddAdminHandlers(library, context.settings.operators, admin,
                   context.counters);
  AddCallerHandlers(library, context);
  // Without SO_REUSEPORT, which the library sets by default: two daemons on one
  // address would each get a part of the connections.
  library.set_socket_options([&server](int socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    server.listener = socket;
  });
  const settings::Address& address = context.settings.http;
  if (!library.bind_to_port(address.ip, address.port)) {
    return base::Fail(
        base::ErrorKind::kSettingsInvalid,
        fmt::format("http: cannot listen on {}:{}", address.ip, address.port));
  }
  listen(server.listener, kListenBacklog);
  server.acceptor = std::thread([&library] { library.listen_after_bind(); });
  // A stop before the library runs would be ignored, and the thread would never
  // end.
  while (!library.is_running()) {
    std::this_thread::yield();
  }
  return base::outcome::success();
}

void DrainConnections(HttpServer& server) {
  // The library's stop() also ends accepted connections without an answer, even
  // if a request is on its way on them. Without its listening socket the
  // library accepts no more and waits for the workers of the accepted ones.
  ::shutdown(server.listener, SHUT_RDWR);
  if (server.acceptor.joinable()) {
    server.acceptor.join();
  }
}

void StopHttpServer(HttpServer& server) {
  if (server.server != nullptr) {
    server.server->stop();
  }
  if (server.acceptor.joinable()) {
    server.acceptor.join();
  }
}

}  // namespace eelgrassbridge::daemon
