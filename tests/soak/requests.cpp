// Records of requests, from their start to the check of their answer.
#include "requests.hpp"

#include <spdlog/fmt/fmt.h>

#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::soak {

namespace {

constexpr int kOk = 200;
constexpr std::int64_t kDeadlineMs = 2000;
/// Bound that the platform's site files set.
constexpr base::Duration kContactBound = base::seconds{4};

http::BufferedRequest MakeMessage(const Kind& kind,
                                  const std::string& id,
                                  std::uint32_t key) {
  http::BufferedRequest request;
  request.method = kind.method;
  request.target = kind.path;
  request.headers = {{"Host", "h"},
                     {"Request-Id", id},
                     {"Caller-Service", "made up"},
                     {"Deadline-Ms", std::to_string(kDeadlineMs)}};
  if (kind.has_key) {
    request.headers.push_back({"Shard-Key", std::to_string(key)});
  }
  request.body = std::string(kind.body_bytes, 'x');
  request.timeout = kResponseTimeout;
  return request;
}

/// Checks that a success is the complete response to this request.
void CheckAnswer(Checker& checker,
                 const std::string& id,
                 const Answer& answer) {
  if (answer.status != kOk) {
    return;
  }
  const std::string signature(
      http::HeaderValue(answer.headers, "Server-Signature"));
  const std::string target = signature.substr(0, signature.find('/'));
  if (signature != target + "/" + id || answer.body != "done by " + target) {
    AddViolation(checker, "mixed",
                 id + " got the response to another request, or a part of one");
  }
}

}  // namespace

OpenRequest BeginRequest(Callers& callers, const Vm& vm, const Kind& kind) {
  Checker& checker = callers.checker;
  OpenRequest request;
  request.id = fmt::format("r{}", callers.next_id++);
  request.generation = vm.generation;
  const auto key =
      static_cast<std::uint32_t>(callers.random() % (ranges::kLastKey + 1));
  SentRequest& sent = checker.requests[request.id];
  sent.method = kind.method;
  sent.path = kind.path;
  sent.service = kind.service;
  sent.caller_service = vm.target.service;
  sent.idempotent = kind.idempotent;
  sent.sent_at = base::BootClock::now();
  sent.undisturbed = IsUndisturbedFor(checker, kContactBound);
  request.message = MakeMessage(kind, request.id, key);
  return request;
}

void MarkSent(Checker& checker, const OpenRequest& request) {
  checker.requests[request.id].sent_at = base::BootClock::now();
}

void EndRequest(Checker& checker,
                const Vm& vm,
                const OpenRequest& request,
                const Answer& answer) {
  SentRequest& sent = checker.requests[request.id];
  sent.ended_at = base::BootClock::now();
  sent.status = answer.status;
  // Nothing is guaranteed if the daemon was not running, or was restarted,
  // during the request.
  sent.undisturbed =
      sent.undisturbed && IsUndisturbedFor(checker, kContactBound) &&
      request.generation == vm.generation && request.generation > 0;
  CheckAnswer(checker, request.id, answer);
}

}  // namespace eelgrassbridge::soak
