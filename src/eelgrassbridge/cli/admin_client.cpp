// Sends requests to a daemon and parses its answers.
#include "eelgrassbridge/cli/admin_client.hpp"

#include <httplib.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>

#include "eelgrassbridge/base/error_table.hpp"
#include "eelgrassbridge/base/file.hpp"
#include "eelgrassbridge/base/header_syntax.hpp"
#include "eelgrassbridge/base/yaml_fields.hpp"
#include "eelgrassbridge/settings/read_settings.hpp"

namespace eelgrassbridge::cli {

namespace {

constexpr std::size_t kMaxTokenFileBytes = 1024;
constexpr std::string_view kWhitespace = " \t\r\n";

std::string OptionOrVariable(const CommandContext& context,
                             const std::string& option,
                             const char* variable) {
  const std::string text = TextOption(context, option);
  const char* value = std::getenv(variable);
  return text.empty() && value != nullptr ? value : text;
}

base::Result<std::string> ReadToken(const std::string& file) {
  if (file.empty()) {
    return base::Fail(
        base::ErrorKind::kUnauthorized,
        "no token; use --token-file or set EELGRASSBRIDGE_TOKEN_FILE");
  }
  BOOST_OUTCOME_TRY(text, base::ReadFile(file, kMaxTokenFileBytes));
  const std::size_t begin = text.find_first_not_of(kWhitespace);
  if (begin == std::string::npos) {
    return base::Fail(base::ErrorKind::kUnauthorized,
                      fmt::format("{}: the file is empty", file));
  }
  const std::size_t end = text.find_last_not_of(kWhitespace);
  std::string token = text.substr(begin, end - begin + 1);
  if (token.find_first_of(kWhitespace) != std::string::npos) {
    return base::Fail(base::ErrorKind::kUnauthorized,
                      fmt::format("{}: expected a single token", file));
  }
  return token;
}

httplib::Client MakeConnection(const AdminClient& client) {
  const std::string url =
      fmt::format("{}://{}", client.ca_file.empty() ? "http" : "https",
                  settings::ToString(client.address));
  httplib::Client connection(url);
  connection.set_connection_timeout(client.timeout);
  connection.set_read_timeout(client.timeout);
  connection.set_write_timeout(client.timeout);
  connection.set_bearer_token_auth(client.token);
  if (!client.ca_file.empty()) {
    connection.set_ca_cert_path(client.ca_file);
  }
  return connection;
}

/// Returns whether the failure occurred before anything was sent.
bool IsBeforeSend(httplib::Error error) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
    case httplib::Error::SSLConnection:
    case httplib::Error::SSLLoadingCerts:
    case httplib::Error::SSLServerVerification:
      return true;
    default:
      return false;
  }
}

base::Error ParseErrorReply(int status, const nlohmann::json& body) {
  base::Error error{
      base::ErrorKind::kPeerLost,
      fmt::format("the answer with status {} is not from a daemon", status)};
  if (!body.is_object()) {
    return error;
  }
  const auto name = body.find("error");
  const auto detail = body.find("detail");
  if (name == body.end() || !name->is_string()) {
    return error;
  }
  const auto table = base::ErrorTable();
  const auto info = std::ranges::find(
      table, name->get<std::string>(),
      [](const base::ErrorInfo& entry) { return std::string(entry.name); });
  if (info != table.end()) {
    error.kind = info->kind;
    error.detail = detail != body.end() && detail->is_string()
                       ? detail->get<std::string>()
                       : name->get<std::string>();
  }
  return error;
}

AdminReply ReadReply(const AdminClient& client, const httplib::Result& result) {
  AdminReply reply;
  if (!result) {
    reply.error = base::Error{
        IsBeforeSend(result.error()) ? base::ErrorKind::kPeerUnreachable
                                     : base::ErrorKind::kPeerLost,
        fmt::format(
            "{}: {}", settings::ToString(client.address),
            IsBeforeSend(result.error())
                ? "connection failed; nothing was sent"
                : "the connection was closed before the answer arrived")};
    return reply;
  }
  if (!base::IsAnswerHead(*result) || !base::HasBodyFraming(*result)) {
    reply.error = base::Error{
        base::ErrorKind::kPeerLost,
        fmt::format("{}: the answer is malformed, or its body has no length",
                    settings::ToString(client.address))};
    return reply;
  }
  if (result->status == 200) {
    reply.body = result->body;
    return reply;
  }
  const auto body =
      nlohmann::json::parse(result->body, nullptr, /*allow_exceptions=*/false);
  reply.error = ParseErrorReply(result->status, body);
  if (body.is_object() && body.contains("catalogue")) {
    auto conflicting = daemon::ReadCatalogueReply(body["catalogue"].dump());
    if (conflicting) {
      reply.conflicting = std::move(conflicting.value());
    }
  }
  return reply;
}

template <typename T, typename Reader>
base::Result<T> GetParsed(const AdminClient& client,
                          const std::string& path,
                          const Reader& read) {
  const AdminReply reply = Get(client, path);
  if (reply.error) {
    return base::Fail(reply.error->kind, reply.error->detail);
  }
  return read(reply.body);
}

}  // namespace

base::Result<AdminClient> MakeAdminClient(const CommandContext& context) {
  AdminClient client;
  const std::string address =
      OptionOrVariable(context, "address", "EELGRASSBRIDGE_ADDRESS");
  const auto parsed = settings::ParseAddress(address);
  if (!parsed) {
    return base::Fail(base::ErrorKind::kBadRequest,
                      fmt::format("--address: '{}' is invalid; expected an IP "
                                  "address and a port, e.g. "
                                  "127.0.0.1:8101",
                                  address));
  }
  client.address = *parsed;
  const auto timeout = base::ParseDuration(TextOption(context, "timeout"));
  if (!timeout || *timeout < base::milliseconds{1}) {
    return base::Fail(base::ErrorKind::kBadRequest,
                      "--timeout: expected a duration with a unit, e.g. 5s");
  }
  client.timeout = *timeout;
  client.ca_file = TextOption(context, "ca-file");
  BOOST_OUTCOME_TRY(token,
                    ReadToken(OptionOrVariable(context, "token-file",
                                               "EELGRASSBRIDGE_TOKEN_FILE")));
  client.token = std::move(token);
  return client;
}

AdminReply Get(const AdminClient& client, const std::string& path) {
  httplib::Client connection = MakeConnection(client);
  return ReadReply(client, connection.Get(path));
}

AdminReply Post(const AdminClient& client,
                const std::string& path,
                const std::string& body) {
  httplib::Client connection = MakeConnection(client);
  return ReadReply(client, connection.Post(path, body, "application/json"));
}

base::Result<catalogue::Catalogue> GetCatalogue(const AdminClient& client) {
  return GetParsed<catalogue::Catalogue>(client, "/admin/catalogue",
                                         daemon::ReadCatalogueReply);
}

base::Result<daemon::FleetStatus> GetStatus(const AdminClient& client) {
  return GetParsed<daemon::FleetStatus>(client, "/admin/status",
                                        daemon::ReadStatusJson);
}

base::Result<std::vector<daemon::HistoryEntry>> GetHistory(
    const AdminClient& client,
    std::uint32_t limit) {
  return GetParsed<std::vector<daemon::HistoryEntry>>(
      client, fmt::format("/admin/history?limit={}", limit),
      daemon::ReadHistoryJson);
}

}  // namespace eelgrassbridge::cli
