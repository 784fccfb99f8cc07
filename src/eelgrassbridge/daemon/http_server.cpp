// Sets up the HTTP library's server and converts between the library's types
// and those of the daemon.
#include "eelgrassbridge/daemon/http_server.hpp"

#include <httplib.h>
#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>

#include <atomic>

#include "eelgrassbridge/base/header_syntax.hpp"
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
/// Length of the accept queue. With the library's default of 5, connections
/// failed when 64 callers connected at once.
constexpr int kListenBacklog = 1024;
/// Maximum wait for memory for a request body. The connection is not read
/// meanwhile, so a caller that is then refused has transferred little data.
constexpr base::Duration kReservationTimeout = base::seconds{2};
/// Holds the content type of a multipart body while the library handles the
/// request; with Content-Type set, the library would parse the body instead of
/// delivering its bytes.
constexpr const char* kMultipartTypeHeader = "Eelgrassbridge-Multipart-Type";

/// @brief Prevents the library from interpreting multipart bodies and the Range
/// header, which is left to the target.
httplib::Server::HandlerResponse DisableInterpretation(
    const httplib::Request& request,
    httplib::Response& /*response*/) {
  // The const_cast is valid: the library passes a const reference to a local
  // variable that is not const.
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
      // Content-Encoding is dropped, since the library has decoded the body.
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
  // With a content provider, the library does not compress the body, which the
  // target may have encoded already.
  struct ResponseBody {
    std::string bytes;
    BodyReservation reservation;
  };
  auto body = std::make_shared<ResponseBody>(
      ResponseBody{std::move(answer.body), std::move(answer.reservation)});
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
  // The connection must be closed, since the request body has not been read.
  WriteAnswer(context, ErrorAnswer(kind, detail), response, true);
}

bool RefuseIfOverflow(const RequestContext& context,
                      httplib::Response& response) {
  const bool is_refused = IsOverflowWorker();
  if (is_refused) {
    Refuse(context, base::ErrorKind::kOverloaded,
           "all connections of this daemon are in use", response);
  }
  return is_refused;
}

/// Refuses a request whose headers the target might read differently.
bool RefuseIfMalformed(const RequestContext& context,
                       const httplib::Request& request,
                       httplib::Response& response) {
  const bool is_refused = !base::AreHeadersValid(request.headers);
  if (is_refused) {
    Refuse(context, base::ErrorKind::kBadRequest,
           "the name or the value of a header is malformed", response);
  }
  return is_refused;
}

void HandleWithoutBody(RequestContext& context,
                       const httplib::Request& request,
                       httplib::Response& response) {
  if (RefuseIfOverflow(context, response) ||
      RefuseIfMalformed(context, request, response)) {
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
  if (RefuseIfOverflow(context, response) ||
      RefuseIfMalformed(context, request, response)) {
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
  const auto reservation =
      ReserveBody(context.request_body_budget, announced,
                  base::BootClock::now() + kReservationTimeout);
  if (!reservation) {
    Refuse(context, base::ErrorKind::kOverloaded,
           "timed out waiting for memory for the request body", response);
    return;
  }
  CallerRequest converted = ToCallerRequest(request);
  bool is_too_large = false;
  const bool is_complete = reader([&](const char* data, std::size_t size) {
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
  if (!is_complete) {
    Refuse(context, base::ErrorKind::kBadRequest,
           "the request body is incomplete", response);
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
  server.set_pre_routing_handler(DisableInterpretation);
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
  // Replaces the library's default options, which include SO_REUSEPORT: with
  // it, two daemons could bind the same address and share its connections.
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
  // The library ignores stop() before its accept loop runs, so the thread would
  // never end.
  while (!library.is_running()) {
    std::this_thread::yield();
  }
  return base::outcome::success();
}

void DrainConnections(HttpServer& server) {
  // The library's stop() also closes accepted connections, including those on
  // which a request is just arriving. When the listening socket is shut down
  // instead, the library stops accepting and waits for the workers of the
  // accepted connections.
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
