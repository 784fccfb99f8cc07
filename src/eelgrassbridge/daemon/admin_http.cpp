// Conversion between the HTTP library's types and the admin handler's.
#include "eelgrassbridge/daemon/admin_http.hpp"

#include <httplib.h>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/catalogue_json.hpp"
#include "eelgrassbridge/daemon/admin_access.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// The largest catalogue, plus 64 KiB for the other fields of a change.
constexpr std::size_t kMaxBodyBytes =
    catalogue::kMaxCatalogueJsonBytes + std::size_t{64} * 1024;
constexpr std::int64_t kMillisecondsPerSecond = 1000;

void HandleHttpRequest(const AdminContext& context,
                       const httplib::Request& request,
                       std::string body,
                       httplib::Response& response) {
  AdminRequest converted{request.method, request.target, {}, std::move(body)};
  for (const auto& [name, value] : request.headers) {
    converted.headers.push_back({name, value});
  }
  AdminResponse answer = HandleAdminRequest(context, converted);
  response.status = answer.status;
  for (const Header& header : answer.headers) {
    if (header.name != "Content-Type") {
      response.set_header(header.name, header.value);
    }
  }
  response.set_content(answer.body, "application/json");
}

/// Reads a body of at most kMaxBodyBytes. Returns false if the body is longer
/// or incomplete.
bool ReadBody(const httplib::ContentReader& reader, std::string& body) {
  return reader([&](const char* data, std::size_t size) {
    if (body.size() + size > kMaxBodyBytes) {
      return false;
    }
    body.append(data, size);
    return true;
  });
}

}  // namespace

void AddAdminHandlers(httplib::Server& server,
                      const std::vector<settings::OperatorToken>& operators,
                      const AdminHooks& hooks,
                      base::CounterRegistry& counters) {
  const auto context_now = [&operators, &hooks, &counters] {
    return AdminContext{operators, hooks, counters, base::UnixMilliseconds()};
  };
  server.Get("/admin/.*", [context_now](const httplib::Request& request,
                                        httplib::Response& response) {
    HandleHttpRequest(context_now(), request, {}, response);
  });
  server.Post("/admin/.*", [context_now](const httplib::Request& request,
                                         httplib::Response& response,
                                         const httplib::ContentReader& reader) {
    const AdminContext context = context_now();
    std::string body;
    const bool is_known =
        FindOperator(context.operators,
                     request.get_header_value("Authorization"),
                     context.now_ms / kMillisecondsPerSecond)
            .has_value();
    if (!is_known || !ReadBody(reader, body)) {
      // The rest of the body is unread, so the connection cannot be reused. An
      // empty body is rejected as malformed.
      body.clear();
      response.set_header("Connection", "close");
    }
    HandleHttpRequest(context, request, std::move(body), response);
  });
}

}  // namespace eelgrassbridge::daemon
