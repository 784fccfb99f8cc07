// One caller of the load tool.
#include "load_caller.hpp"

#include <httplib.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "eelgrassbridge/base/hash.hpp"

namespace eelgrassbridge::standins {

namespace {

using nlohmann::json;

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr auto kClientTimeout = std::chrono::seconds{10};
constexpr auto kResendPause = std::chrono::milliseconds{50};
constexpr int kIdRequiredStatus = 428;

struct Caller {
  LoadRun& run;
  std::uint32_t index;
  std::mt19937_64 random;
  std::size_t entry;
  std::unique_ptr<httplib::Client> client;
  std::uint64_t sequence = 0;
  LoadResults results;
};

/// @brief A request of the mix with its key and body.
struct LoadRequest {
  const LoadKind& kind;
  std::string key;
  std::string path;
  std::string body;
};

void Connect(Caller& caller) {
  const auto& entries = caller.run.options.entries;
  const auto& address = entries[caller.entry % entries.size()];
  caller.client = std::make_unique<httplib::Client>(address.ip, address.port);
  caller.client->set_keep_alive(true);
  caller.client->set_tcp_nodelay(true);
  caller.client->set_connection_timeout(std::chrono::seconds{1});
  caller.client->set_read_timeout(kClientTimeout);
  caller.client->set_write_timeout(kClientTimeout);
}

LoadRequest MakeRequest(Caller& caller) {
  const auto& options = caller.run.options;
  std::vector<double> weights;
  for (const auto& kind : options.kinds) {
    weights.push_back(kind.weight);
  }
  const auto& kind = options.kinds[std::discrete_distribution<std::size_t>(
      weights.begin(), weights.end())(caller.random)];
  const double point =
      std::uniform_real_distribution<double>(0, 1)(caller.random);
  const auto& shares = caller.run.key_shares;
  const auto key = std::ranges::lower_bound(shares, point) - shares.begin();
  LoadRequest request{
      .kind = kind,
      .key = options.key_prefix + std::to_string(key),
      .path = fmt::format("/s/{}/{}/item", kind.service, kind.kind),
      .body = {}};
  request.body.assign(kind.body_bytes,
                      static_cast<char>('a' + caller.random() % 26));
  return request;
}

// The target echoes the request, so a response can be matched to it.
std::string FindFault(const LoadRequest& request,
                      const std::string& id,
                      const httplib::Response& answer) {
  const std::string checksum = answer.get_header_value("Answer-Checksum");
  if (checksum.empty()) {
    return {};
  }
  if (checksum != std::to_string(base::Hash64(answer.body))) {
    return "cut_body";
  }
  const json echo = json::parse(answer.body, nullptr, false);
  const bool matches =
      echo.is_object() && echo.value("key", "") == request.key &&
      echo.value("path", "") == request.path && echo.value("id", "") == id &&
      echo.value("checksum", std::uint64_t{0}) == base::Hash64(request.body);
  return matches ? "" : "other_answer";
}

void ReadOutcome(const LoadOptions& options,
                 const httplib::Response& answer,
                 Attempt& attempt) {
  attempt.status = answer.status;
  attempt.outcome = answer.get_header_value("Eelgrassbridge-Outcome");
  attempt.error = answer.get_header_value("Eelgrassbridge-Error");
  attempt.issued_id = answer.get_header_value("Eelgrassbridge-Request-Id");
  if (!options.direct) {
    if (attempt.outcome.empty()) {
      attempt.outcome = "unknown";
      attempt.error = "no_outcome_header";
    }
    return;
  }
  const bool refused = answer.get_header_value("Eelgrassbridge-Not-Run") == "1";
  attempt.outcome = refused ? "not-run" : "answered";
  if (refused) {
    attempt.error = "target_refused";
  }
}

httplib::Headers MakeHeaders(const LoadOptions& options,
                             const LoadRequest& request,
                             const Attempt& attempt) {
  httplib::Headers headers{{"Eelgrassbridge-Key", request.key},
                           {"Load-Tag", attempt.tag}};
  if (!options.account.empty()) {
    headers.emplace("Eelgrassbridge-Account", options.account);
  }
  if (options.deadline_ms > 0) {
    headers.emplace("Eelgrassbridge-Deadline-Ms",
                    std::to_string(options.deadline_ms));
  }
  if (!attempt.id.empty()) {
    headers.emplace("Eelgrassbridge-Request-Id", attempt.id);
  }
  return headers;
}

Attempt Send(Caller& caller, const LoadRequest& request, std::string id) {
  const auto& options = caller.run.options;
  Attempt attempt;
  attempt.id = std::move(id);
  attempt.tag =
      fmt::format("{}-{}-{}", options.seed, caller.index, caller.sequence++);
  httplib::Request sent;
  sent.method = request.kind.method;
  sent.path = request.path;
  sent.headers = MakeHeaders(options, request, attempt);
  sent.body = request.body;
  if (!sent.body.empty()) {
    sent.headers.emplace("Content-Type", "application/octet-stream");
  }
  attempt.start_us = UnixMicroseconds();
  const auto reply = caller.client->send(sent);
  attempt.end_us = UnixMicroseconds();
  if (reply) {
    ReadOutcome(options, *reply, attempt);
    if (attempt.outcome == "answered") {
      attempt.fault = FindFault(request, attempt.id, *reply);
    }
  } else {
    const bool connected = reply.error() != httplib::Error::Connection &&
                           reply.error() != httplib::Error::ConnectionTimeout;
    attempt.outcome = connected ? "unknown" : "not-run";
    attempt.error = connected ? "no_reply" : "no_connection";
    ++caller.entry;
    Connect(caller);
  }
  return attempt;
}

void Record(Caller& caller,
            const LoadRequest& request,
            const Attempt& attempt) {
  if (caller.run.lines.descriptor < 0) {
    return;
  }
  const json line{
      {"tag", attempt.tag},        {"service", request.kind.service},
      {"kind", request.kind.kind}, {"idempotent", request.kind.idempotent},
      {"key", request.key},        {"id", attempt.id},
      {"status", attempt.status},  {"outcome", attempt.outcome},
      {"error", attempt.error},    {"fault", attempt.fault},
      {"start", attempt.start_us}, {"end", attempt.end_us}};
  AppendLine(caller.run.lines, line.dump());
}

void Count(Caller& caller, const LoadRequest& request, const Attempt& last) {
  auto& results = caller.results;
  ++results.requests;
  ++results.outcomes[last.outcome];
  ++results.statuses[std::to_string(last.status)];
  if (!last.error.empty()) {
    ++results.errors[last.error];
  }
  if (!last.fault.empty()) {
    ++results.faults[last.fault];
  }
  if (last.outcome == "answered") {
    results.latencies[request.kind.service + "/" + request.kind.kind].push_back(
        last.end_us - last.start_us);
  } else {
    results.failed_at_us.push_back(last.end_us);
  }
}

// Sends a request with retries. A non-idempotent request keeps its id in every
// retry; the first attempt has no id, and the 428 response to it issues one.
void RunRequest(Caller& caller) {
  const LoadRequest request = MakeRequest(caller);
  const auto& options = caller.run.options;
  std::string id;
  Attempt attempt;
  for (std::uint32_t left = options.resends + 1; left > 0; --left) {
    attempt = Send(caller, request, id);
    Record(caller, request, attempt);
    if (attempt.status == kIdRequiredStatus && id.empty()) {
      id = attempt.issued_id;
      attempt = Send(caller, request, id);
      Record(caller, request, attempt);
    }
    const bool may_resend = attempt.outcome == "not-run" ||
                            (attempt.outcome == "unknown" &&
                             (request.kind.idempotent || !id.empty()));
    if (!may_resend || left == 1) {
      break;
    }
    std::this_thread::sleep_for(kResendPause);
  }
  Count(caller, request, attempt);
}

// Sleeps until the request with this index is due at the configured rate.
void WaitUntilDue(const LoadRun& run, std::uint64_t request_index) {
  if (run.options.rate <= 0) {
    return;
  }
  const auto due =
      run.start_us +
      static_cast<std::int64_t>(static_cast<double>(request_index) *
                                kMicrosecondsPerSecond / run.options.rate);
  const std::int64_t left = due - UnixMicroseconds();
  if (left > 0) {
    std::this_thread::sleep_for(std::chrono::microseconds{left});
  }
}

}  // namespace

void PrepareRun(LoadRun& run) {
  double sum = 0;
  for (std::uint32_t key = 1; key <= run.options.keys; ++key) {
    sum += std::pow(key, -run.options.zipf);
    run.key_shares.push_back(sum);
  }
  for (double& share : run.key_shares) {
    share = run.options.hot_share + (1 - run.options.hot_share) * share / sum;
  }
  run.lines = OpenLineLog(run.options.lines_file);
  run.start_us = UnixMicroseconds();
  run.end_us = run.start_us + static_cast<std::int64_t>(run.options.seconds *
                                                        kMicrosecondsPerSecond);
}

LoadResults RunCaller(LoadRun& run, std::uint32_t index) {
  Caller caller{.run = run,
                .index = index,
                .random = std::mt19937_64(run.options.seed * 1000003 + index),
                .entry = index,
                .client = nullptr,
                .sequence = 0,
                .results = {}};
  Connect(caller);
  for (;;) {
    const std::uint64_t request_index = run.started.fetch_add(1);
    if (run.options.max_requests > 0 &&
        request_index >= run.options.max_requests) {
      break;
    }
    WaitUntilDue(run, request_index);
    if (UnixMicroseconds() >= run.end_us) {
      break;
    }
    RunRequest(caller);
  }
  return std::move(caller.results);
}

}  // namespace eelgrassbridge::standins
