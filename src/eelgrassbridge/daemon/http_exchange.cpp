// Connection reuse and the mapping of HTTP client errors to error kinds.
#include "eelgrassbridge/daemon/http_exchange.hpp"

#include <httplib.h>
#include <spdlog/fmt/fmt.h>
#include <strings.h>

#include <algorithm>
#include <array>

namespace eelgrassbridge::daemon {

namespace {

/// The library waits in whole milliseconds and may give up just before the
/// deadline.
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
      // The last one is the one used last: all are too old. They are closed
      // after the lock is released.
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
  // The library adds the encodings it can decode itself unless the header is
  // present; the answer is passed on undecoded, so only the caller's count.
  if (!converted.has_header("Accept-Encoding")) {
    converted.headers.emplace("Accept-Encoding", "identity");
  }
  converted.body = request.body;
  return converted;
}

/// Without a length or chunks the end of the connection would end the body, so
/// an answer that was cut off would look whole.
bool HasBodyFraming(const httplib::Response& response,
                    std::string_view method) {
  return response.has_header("Content-Length") ||
         response.has_header("Transfer-Encoding") || method == "HEAD" ||
         response.status == 204 || response.status == 304;
}

/// Room for the answer's body, taken before any of it is read. An answer
/// without a length takes the most that it may need, so that no two half-read
/// answers wait for each other.
bool TakeRoom(const ConnectionPool& pool,
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
    // Refused when its body exceeds the limit.
    return true;
  }
  auto taken = ReserveBody(*pool.answer_budget, needed, deadline);
  if (!taken) {
    return false;
  }
  reservation = std::move(*taken);
  return true;
}

base::Error ToError(httplib::Error error,
                    base::TimePoint deadline,
                    const ExchangeErrors& errors) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      return {errors.unreachable, "no connection could be made"};
    default:
      break;
  }
  if (base::BootClock::now() + kTimeoutGranularity >= deadline) {
    return {errors.timeout, "no whole answer before the deadline"};
  }
  return {errors.lost, fmt::format("the connection ended before the answer: {}",
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
  // The last four are added by the HTTP library to requests it received.
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
  ExchangeAnswer answer;
  bool too_large = false;
  bool has_room = true;
  if (request.method != "HEAD") {
    outgoing.response_handler = [&](const httplib::Response& response) {
      has_room = TakeRoom(pool, response, deadline, answer.reservation);
      return has_room;
    };
  }
  outgoing.content_receiver = [&](const char* data, std::size_t size,
                                  std::uint64_t, std::uint64_t) {
    too_large = answer.body.size() + size > pool.options.max_answer_bytes;
    if (too_large || base::BootClock::now() >= deadline) {
      return false;
    }
    answer.body.append(data, size);
    return true;
  };
  httplib::Response incoming;
  httplib::Error error = httplib::Error::Success;
  bool is_whole = false;
  {
    const InterruptScope scope(request.interrupt, [&] { client->stop(); });
    if (scope.is_cancelled) {
      return base::Fail(base::ErrorKind::kCancelled,
                        "cancelled before it began");
    }
    is_whole = client->send(outgoing, incoming, error);
  }
  if (!is_whole) {
    if (!has_room) {
      return base::Fail(base::ErrorKind::kAnswerCut,
                        "no room for the answer became free in time");
    }
    if (IsCancelled(request.interrupt)) {
      return base::Fail(base::ErrorKind::kCancelled,
                        "another copy was answered first");
    }
    if (too_large) {
      return base::Fail(base::ErrorKind::kAnswerCut,
                        "the answer is larger than the configured limit");
    }
    return base::outcome::failure(ToError(error, deadline, errors));
  }
  if (!HasBodyFraming(incoming, request.method)) {
    return base::Fail(base::ErrorKind::kAnswerCut,
                      "the answer has neither a length nor chunks");
  }
  answer.status = incoming.status;
  for (const auto& [name, value] : incoming.headers) {
    if (!IsHopByHopHeader(name)) {
      answer.headers.push_back({name, value});
    }
  }
  ShrinkReservation(answer.reservation, answer.body.size());
  ReleaseConnection(pool, address, std::move(client));
  return answer;
}

}  // namespace eelgrassbridge::daemon
