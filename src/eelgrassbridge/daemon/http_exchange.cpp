// Reuses connections and maps HTTP client errors to error kinds.
#include "eelgrassbridge/daemon/http_exchange.hpp"

#include <httplib.h>
#include <spdlog/fmt/fmt.h>
#include <strings.h>

#include <algorithm>
#include <array>
#include <optional>

#include "eelgrassbridge/base/header_syntax.hpp"
#include "eelgrassbridge/daemon/chunked_body.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// The HTTP library rounds timeouts to milliseconds and may time out slightly
/// before the deadline.
constexpr base::Duration kTimeoutGranularity = base::milliseconds{5};

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::unique_ptr<httplib::Client> AcquireConnection(
    ConnectionPool& pool,
    const settings::Address& address) {
  std::vector<IdleConnection> stale;
  std::unique_ptr<httplib::Client> client;
  {
    const base::TimePoint oldest =
        base::BootClock::now() - pool.options.idle_limit;
    const std::scoped_lock lock(pool.mutex);
    std::vector<IdleConnection>& idle = pool.idle[address];
    if (!idle.empty() && idle.back().used_at >= oldest) {
      client = std::move(idle.back().client);
      idle.pop_back();
    } else {
      // The last entry is the most recently used one, so all are too old. They
      // are closed after the lock is released.
      stale.swap(idle);
    }
  }
  if (client == nullptr) {
    const bool is_tls = !pool.trusted_certificates_file.empty();
    client = std::make_unique<httplib::Client>(fmt::format(
        "{}://{}:{}", is_tls ? "https" : "http", address.ip, address.port));
    if (is_tls) {
      client->set_ca_cert_path(pool.trusted_certificates_file);
    }
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    client->set_decompress(false);
    client->set_connection_timeout(pool.options.connect_timeout);
  }
  return client;
}

void ReleaseConnection(ConnectionPool& pool,
                       const settings::Address& address,
                       std::unique_ptr<httplib::Client> client) {
  const std::scoped_lock lock(pool.mutex);
  std::vector<IdleConnection>& idle = pool.idle[address];
  if (idle.size() < pool.options.max_idle_per_address) {
    idle.push_back({std::move(client), base::BootClock::now()});
  }
}

httplib::Request ToLibraryRequest(const ExchangeRequest& request) {
  httplib::Request converted;
  converted.method = request.method;
  converted.path = request.target;
  for (const Header& header : request.headers) {
    converted.headers.emplace(header.name, header.value);
  }
  // Without this header the library offers the encodings that it supports. The
  // response is passed on without decoding, so only encodings that the caller
  // accepts may be offered.
  if (!converted.has_header("Accept-Encoding")) {
    converted.headers.emplace("Accept-Encoding", "identity");
  }
  converted.body = request.body;
  return converted;
}

/// @brief What has been read of a response.
struct ResponseRead {
  ExchangeAnswer answer;
  bool is_well_formed = true;
  bool is_reserved = true;
  bool is_too_large = false;
  /// Set if the body is chunked.
  std::optional<ChunkedBody> chunked;
  ChunkRead chunk_read = ChunkRead::kMore;
};

bool IsWithoutBody(const httplib::Response& response, std::string_view method) {
  return method == "HEAD" || response.status == 204 || response.status == 304;
}

bool IsWellFormed(const httplib::Response& response, std::string_view method) {
  return base::IsAnswerHead(response) &&
         (IsWithoutBody(response, method) || base::HasBodyFraming(response));
}

/// Prevents the library from decoding chunks. Returns whether there are any.
bool TakeChunking(const httplib::Response& response) {
  // The const_cast is valid: the library passes a const reference to the
  // caller's variable, which is not const.
  return const_cast<httplib::Response&>(response).headers.erase(
             "Transfer-Encoding") > 0;
}

/// Reserves memory for the response body before any of it is read. A response
/// without a length reserves the maximum size, so that two partly read
/// responses cannot deadlock on the budget.
bool ReserveResponseBody(const ConnectionPool& pool,
                         const httplib::Response& response,
                         base::TimePoint deadline,
                         BodyReservation& reservation) {
  if (pool.answer_budget == nullptr) {
    return true;
  }
  const std::uint64_t needed =
      response.has_header("Content-Length")
          ? response.get_header_value<std::uint64_t>("Content-Length")
          : pool.options.max_answer_bytes;
  if (needed > pool.options.max_answer_bytes) {
    // The exchange fails once the body exceeds the limit.
    return true;
  }
  auto taken = ReserveBody(*pool.answer_budget, needed, deadline);
  if (!taken) {
    return false;
  }
  reservation = std::move(*taken);
  return true;
}

/// Checks the head of a response and prepares to read its body.
bool StartBody(const ConnectionPool& pool,
               const httplib::Response& response,
               std::string_view method,
               base::TimePoint deadline,
               ResponseRead& read) {
  read.is_well_formed = IsWellFormed(response, method);
  if (!read.is_well_formed) {
    return false;
  }
  if (TakeChunking(response)) {
    read.chunked.emplace();
  }
  read.is_reserved =
      ReserveResponseBody(pool, response, deadline, read.answer.reservation);
  return read.is_reserved;
}

/// Takes the next bytes of a body. Returns whether more may follow.
bool ReceiveBody(const ConnectionPool& pool,
                 std::string_view bytes,
                 base::TimePoint deadline,
                 ResponseRead& read) {
  if (base::BootClock::now() >= deadline) {
    return false;
  }
  std::string& body = read.answer.body;
  if (read.chunked) {
    read.chunk_read = Decode(*read.chunked, bytes, body);
    read.is_well_formed = read.chunk_read != ChunkRead::kInvalid;
  } else {
    body.append(bytes);
  }
  read.is_too_large = body.size() > pool.options.max_answer_bytes;
  return !read.is_too_large && read.chunk_read == ChunkRead::kMore;
}

base::Error ToError(httplib::Error error,
                    base::TimePoint deadline,
                    const ExchangeErrors& errors) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      return {errors.unreachable, "could not connect"};
    default:
      break;
  }
  if (base::BootClock::now() + kTimeoutGranularity >= deadline) {
    return {errors.timeout, "no complete response before the deadline"};
  }
  return {errors.lost, fmt::format("connection lost before the response: {}",
                                   httplib::to_string(error))};
}

}  // namespace

ConnectionPool::ConnectionPool() = default;
ConnectionPool::~ConnectionPool() = default;

std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name) {
  const auto found = std::ranges::find_if(headers, [&](const Header& header) {
    return EqualsIgnoringCase(header.name, name);
  });
  return found == headers.end() ? std::string_view{} : found->value;
}

bool IsHopByHopHeader(std::string_view name) {
  // The HTTP library adds the last four to the requests that it receives.
  static constexpr std::array<std::string_view, 15> kNames{
      "Connection",  "Keep-Alive",          "Proxy-Connection",
      "TE",          "Transfer-Encoding",   "Upgrade",
      "Trailer",     "Content-Length",      "Host",
      "Expect",      "Proxy-Authorization", "REMOTE_ADDR",
      "REMOTE_PORT", "LOCAL_ADDR",          "LOCAL_PORT"};
  return std::ranges::any_of(kNames, [&](std::string_view hop) {
    return EqualsIgnoringCase(hop, name);
  });
}

base::Result<ExchangeAnswer> Exchange(ConnectionPool& pool,
                                      const settings::Address& address,
                                      const ExchangeRequest& request,
                                      base::TimePoint deadline,
                                      const ExchangeErrors& errors) {
  const base::Duration left = deadline - base::BootClock::now();
  if (left <= base::Duration::zero()) {
    return base::Fail(errors.unreachable, "no time left to send the request");
  }
  std::unique_ptr<httplib::Client> client = AcquireConnection(pool, address);
  client->set_read_timeout(left);
  client->set_write_timeout(left);

  httplib::Request outgoing = ToLibraryRequest(request);
  ResponseRead read;
  if (request.method != "HEAD") {
    outgoing.response_handler = [&](const httplib::Response& response) {
      return StartBody(pool, response, request.method, deadline, read);
    };
  }
  outgoing.content_receiver = [&](const char* data, std::size_t size,
                                  std::uint64_t, std::uint64_t) {
    return ReceiveBody(pool, {data, size}, deadline, read);
  };
  httplib::Response incoming;
  httplib::Error error = httplib::Error::Success;
  bool is_complete = false;
  {
    const InterruptScope scope(request.interrupt, [&] { client->stop(); });
    if (scope.is_cancelled) {
      return base::Fail(base::ErrorKind::kCancelled,
                        "cancelled before it was sent");
    }
    is_complete = client->send(outgoing, incoming, error);
  }
  if (read.chunked && is_complete) {
    return base::Fail(errors.lost, "connection lost before the last chunk");
  }
  // The library reads a body whose chunks it does not see to the end of the
  // connection. It is stopped at the last chunk.
  is_complete = is_complete || read.chunk_read == ChunkRead::kComplete;
  if (is_complete && !read.chunked) {
    read.is_well_formed = IsWellFormed(incoming, request.method);
  }
  if (!read.is_well_formed) {
    return base::Fail(base::ErrorKind::kAnswerCut,
                      "the response is malformed, or its body has no length");
  }
  if (!is_complete) {
    if (!read.is_reserved) {
      return base::Fail(base::ErrorKind::kAnswerCut,
                        "timed out waiting for memory for the response body");
    }
    if (IsCancelled(request.interrupt)) {
      return base::Fail(base::ErrorKind::kCancelled,
                        "cancelled because another copy was answered first");
    }
    if (read.is_too_large) {
      return base::Fail(base::ErrorKind::kAnswerCut,
                        "the response is larger than the configured limit");
    }
    return base::outcome::failure(ToError(error, deadline, errors));
  }
  ExchangeAnswer& answer = read.answer;
  answer.status = incoming.status;
  for (const auto& [name, value] : incoming.headers) {
    if (!IsHopByHopHeader(name)) {
      answer.headers.push_back({name, value});
    }
  }
  ShrinkReservation(answer.reservation, answer.body.size());
  if (!read.chunked) {
    ReleaseConnection(pool, address, std::move(client));
  }
  return std::move(answer);
}

}  // namespace eelgrassbridge::daemon
