// Scenario poison_site: a caller keeps resending a request that crashes its
// target.
#include <httplib.h>
#include <spdlog/fmt/fmt.h>

#include <atomic>
#include <csignal>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "figures.hpp"
#include "scenarios.hpp"
#include "site_client.hpp"

namespace eelgrassbridge::bench {

namespace {

constexpr const char* kScenario = "poison_site";
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kResendSeconds = 20;
constexpr double kShortResendSeconds = 8;
constexpr double kSettleSeconds = 5;
constexpr double kTargetCrashLimit = 2;
// Between two attempts of a request, as in the load tool.
constexpr double kResendPauseSeconds = 0.05;
constexpr double kRestartPauseSeconds = 0.02;
constexpr auto kReplyTimeout = std::chrono::seconds{5};

/// @brief A request whose path makes the stand-in target abort.
struct PoisonRequest {
  std::string name;
  std::string service;
  std::string kind;
  std::string method;
  bool idempotent = true;
};

struct PoisonResult {
  std::map<std::string, double> outcomes;
  double sent = 0;
};

// Counts the targets that crashed and were restarted.
struct TargetRestarts {
  std::atomic<bool> stopping = false;
  std::atomic<std::uint32_t> crashes = 0;
};

// Restarts crashed targets until `stopping` is set.
void RestartTargets(Site& site, TargetRestarts& restarts) {
  while (!restarts.stopping) {
    for (Member& member : site.members) {
      if (!IsRunning(member.target)) {
        ++restarts.crashes;
        Stop(member.target, 0);
        StartTarget(site, member);
      }
    }
    SleepSeconds(kRestartPauseSeconds);
  }
}

// Sends one attempt and returns its outcome and error. For a non-idempotent
// request, the id issued with the first reply is stored for the next attempts.
std::string SendPoison(const Member& entry,
                       const PoisonRequest& poison,
                       std::string& id) {
  httplib::Client client("127.0.0.1", entry.http_port);
  client.set_read_timeout(kReplyTimeout);
  httplib::Request request;
  request.method = poison.method;
  request.path = fmt::format("/s/{}/{}/crash", poison.service, poison.kind);
  request.headers = {{"Eelgrassbridge-Key", "poison-" + poison.name},
                     {"Load-Tag", "poison-" + poison.name}};
  if (!id.empty()) {
    request.headers.emplace("Eelgrassbridge-Request-Id", id);
  }
  const auto reply = client.send(request);
  if (!reply) {
    return "no_reply";
  }
  if (!poison.idempotent && id.empty()) {
    id = reply->get_header_value("Eelgrassbridge-Request-Id");
  }
  return fmt::format("{}_{}", reply->get_header_value("Eelgrassbridge-Outcome"),
                     reply->get_header_value("Eelgrassbridge-Error"));
}

PoisonResult ResendThroughAllMembers(const Site& site,
                                     const PoisonRequest& poison,
                                     double seconds) {
  PoisonResult result;
  std::string id;
  const std::int64_t start = UnixMicroseconds();
  for (std::size_t turn = 0; static_cast<double>(UnixMicroseconds() - start) <
                             seconds * kMicrosecondsPerSecond;
       ++turn) {
    const Member& entry = site.members[turn % site.members.size()];
    ++result.outcomes[SendPoison(entry, poison, id)];
    ++result.sent;
    SleepSeconds(kResendPauseSeconds);
  }
  return result;
}

void MeasurePoisonRequest(const Site& site,
                          const TargetRestarts& restarts,
                          const PoisonRequest& poison,
                          double seconds) {
  const std::uint32_t crashes_before = restarts.crashes;
  const auto result = ResendThroughAllMembers(site, poison, seconds);
  SleepSeconds(kSettleSeconds);
  PrintCount(kScenario, poison.name + "_target_deaths",
             restarts.crashes - crashes_before, kTargetCrashLimit);
  PrintCount(kScenario, poison.name + "_sent", result.sent);
  for (const auto& [outcome, count] : result.outcomes) {
    PrintCount(kScenario, fmt::format("{}_told_{}", poison.name, outcome),
               count);
  }
}

}  // namespace

bool MeasurePoison(const ScenarioOptions& options) {
  const auto example = ReadExampleSite(options.site, "astillas");
  if (!example) {
    return false;
  }
  auto site = StartSite(*example, kScenario);
  if (!site) {
    return false;
  }
  SleepSeconds(kSettleSeconds);
  Load load;
  load.entries = AllEntries(*site);
  load.kinds =
      "listing/view:GET:idempotent:0:4,listing/claim:POST:once:200:2,"
      "yard-records/stock:GET:idempotent:0:4";
  load.callers = 8;
  load.rate = 100;
  load.seconds = 600;
  load.seed = 500;
  load.record_attempts = true;
  auto background = StartLoad(*site, load);
  const double seconds =
      options.is_short ? kShortResendSeconds : kResendSeconds;
  // A single thread for the entire scenario, since the kernel kills a child
  // process when the thread that started it ends.
  TargetRestarts restarts;
  std::thread restarter([&] { RestartTargets(*site, restarts); });
  for (const PoisonRequest& poison :
       {PoisonRequest{"divided", "listing", "view", "GET", true},
        PoisonRequest{"divided_once", "listing", "claim", "POST", false},
        PoisonRequest{"undivided", "yard-records", "stock", "GET", true},
        PoisonRequest{"undivided_once", "booking", "book", "POST", false}}) {
    MeasurePoisonRequest(*site, restarts, poison, seconds);
  }
  const auto summary = FinishLoad(background);
  restarts.stopping = true;
  restarter.join();
  PrintCount(kScenario, "other_requests", summary.value("requests", 0.0));
  const auto errors = summary.value("errors", nlohmann::json::object());
  for (const auto& [error, count] : errors.items()) {
    PrintCount(kScenario, "other_requests_" + error, count.get<double>());
  }
  PrintViolations(kScenario, *site);
  StopSite(*site);
  return true;
}

}  // namespace eelgrassbridge::bench
