// Stand-in for a target: admits requests by the rules of target_state.hpp,
// echoes them and logs each run.
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <cxxopts.hpp>
#include <deque>
#include <nlohmann/json.hpp>
#include <thread>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "serve.hpp"
#include "target_state.hpp"

namespace eelgrassbridge::standins {
namespace {

using nlohmann::json;

constexpr const char* kJsonType = "application/json";
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

struct Target {
  TargetState state;
  LineLog log;
  std::size_t answer_bytes = 0;
  std::atomic<std::int64_t> frozen_until_us = 0;
  /// Time in Unix microseconds and requests in flight at each call of
  /// /target/load, oldest first; needed to report a load of load_lag_ms ago.
  std::mutex load_mutex;
  std::deque<std::pair<std::int64_t, std::uint32_t>> load_history;
};

std::int64_t NumberHeader(const httplib::Request& request, const char* name) {
  const std::string text = request.get_header_value(name);
  return text.empty() ? 0 : std::strtoll(text.c_str(), nullptr, 10);
}

void WaitWhileFrozen(const Target& target) {
  while (UnixMicroseconds() < target.frozen_until_us) {
    std::this_thread::sleep_for(base::milliseconds{5});
  }
}

RunRequest ReadRequest(const httplib::Request& request) {
  return {.key = request.get_header_value("Eelgrassbridge-Key"),
          .group = request.get_header_value("Eelgrassbridge-Group"),
          .epoch = static_cast<std::uint64_t>(
              NumberHeader(request, "Eelgrassbridge-Epoch")),
          .not_after_ms = NumberHeader(request, "Eelgrassbridge-Not-After")};
}

void Refuse(httplib::Response& response, Admission admission) {
  if (admission == Admission::kOverloaded) {
    response.status = 500;
    response.set_content(R"({"error":"fell over"})", kJsonType);
    return;
  }
  response.status = 503;
  response.set_header("Eelgrassbridge-Not-Run", "1");
  response.set_header("Retry-After", "1");
}

json LogEntry(const Target& target,
              const httplib::Request& request,
              const RunRequest& run) {
  return {{"key", run.key},
          {"group", run.group},
          {"epoch", run.epoch},
          {"id", request.get_header_value("Eelgrassbridge-Request-Id")},
          {"tag", request.get_header_value("Load-Tag")},
          {"service", target.state.options.service},
          {"target", target.state.options.name},
          {"instance", target.state.instance},
          {"pid", ::getpid()}};
}

// Waits for the service time, or until the absolute deadline if that is
// earlier. Returns whether the run was completed.
bool SimulateRun(const Target& target,
                 const RunRequest& run,
                 std::int64_t start) {
  std::int64_t end = start + target.state.options.service_time_us;
  const std::int64_t limit = run.not_after_ms * kMicrosecondsPerMillisecond;
  const bool completes = limit == 0 || end <= limit;
  if (!completes) {
    end = limit;
  }
  const std::int64_t left = end - UnixMicroseconds();
  if (left > 0) {
    std::this_thread::sleep_for(base::microseconds{left});
  }
  return completes;
}

void Echo(Target& target,
          const httplib::Request& request,
          const RunRequest& run,
          httplib::Response& response) {
  const std::uint64_t count =
      request.method == "POST" ? CountKey(target.state, run.key) : 0;
  json body{{"key", run.key},
            {"path", request.path},
            {"id", request.get_header_value("Eelgrassbridge-Request-Id")},
            {"length", request.body.size()},
            {"checksum", base::Hash64(request.body)},
            {"target", target.state.options.name},
            {"epoch", run.epoch},
            {"count", count}};
  if (target.answer_bytes > 0) {
    body["padding"] = std::string(target.answer_bytes, 'x');
  }
  const std::string text = body.dump();
  response.set_header("Answer-Checksum", std::to_string(base::Hash64(text)));
  response.set_content(text, kJsonType);
}

void HandleRun(Target& target,
               const httplib::Request& request,
               httplib::Response& response) {
  WaitWhileFrozen(target);
  const RunRequest run = ReadRequest(request);
  const std::int64_t start = UnixMicroseconds();
  const Admission admission =
      BeginRun(target.state, run, start / kMicrosecondsPerMillisecond);
  if (admission != Admission::kRun) {
    Refuse(response, admission);
    return;
  }
  // The start gets a line of its own, since a process that is killed during a
  // run logs no end.
  json entry = LogEntry(target, request, run);
  entry["start"] = start;
  AppendLine(target.log, entry.dump());
  if (request.path.find("/crash") != std::string::npos) {
    std::abort();
  }
  const bool completed = SimulateRun(target, run, start);
  WaitWhileFrozen(target);
  if (completed) {
    Echo(target, request, run, response);
  } else {
    response.status = 504;
    response.set_content(R"({"error":"deadline"})", kJsonType);
  }
  entry["end"] = UnixMicroseconds();
  AppendLine(target.log, entry.dump());
  EndRun(target.state);
}

std::uint32_t ReportedLoad(Target& target) {
  const std::scoped_lock lock(target.load_mutex);
  const std::int64_t now = UnixMicroseconds();
  {
    const std::scoped_lock state_lock(target.state.mutex);
    target.load_history.emplace_back(now, target.state.in_flight);
  }
  const std::int64_t wanted =
      now - target.state.options.load_lag_ms * kMicrosecondsPerMillisecond;
  while (target.load_history.size() > 1 &&
         target.load_history[1].first <= wanted) {
    target.load_history.pop_front();
  }
  return target.state.options.reports_idle ? 0
                                           : target.load_history.front().second;
}

void AddMonitoringEndpoints(Target& target, httplib::Server& server) {
  server.Get("/target/health", [&](const auto&, auto& response) {
    WaitWhileFrozen(target);
    const std::scoped_lock lock(target.state.mutex);
    response.status = target.state.draining ? 503 : 200;
    response.set_content(
        json{{"state", target.state.draining ? "draining" : "serving"}}.dump(),
        kJsonType);
  });
  server.Get("/target/load", [&](const auto&, auto& response) {
    WaitWhileFrozen(target);
    response.set_content(json{{"in_flight", ReportedLoad(target)},
                              {"slots", target.state.options.slots}}
                             .dump(),
                         kJsonType);
  });
  server.Get("/target/instance", [&](const auto&, auto& response) {
    WaitWhileFrozen(target);
    const std::scoped_lock lock(target.state.mutex);
    response.set_content(
        json{{"instance", target.state.instance},
             {"service", target.state.options.service},
             {"checks_fencing", target.state.options.checks_fencing}}
            .dump(),
        kJsonType);
  });
  server.Post("/target/grant", [&](const auto& request, auto& response) {
    const RunRequest grant = ReadRequest(request);
    const bool accepted = AcceptGrant(target.state, grant.group, grant.epoch);
    response.status = accepted ? 200 : 409;
  });
}

void AddAdminEndpoints(Target& target, httplib::Server& server) {
  server.Post("/admin/freeze", [&](const auto& request, auto&) {
    const auto ms = std::stoll(request.get_param_value("ms"));
    target.frozen_until_us =
        UnixMicroseconds() + ms * kMicrosecondsPerMillisecond;
  });
  server.Post("/admin/drain", [&](const auto& request, auto&) {
    const std::scoped_lock lock(target.state.mutex);
    target.state.draining = request.get_param_value("on") != "0";
  });
  server.Post("/admin/restart", [&](const auto&, auto&) {
    StartInstance(target.state, base::RandomHex128());
  });
  server.Get("/admin/counts", [&](const auto&, auto& response) {
    const std::scoped_lock lock(target.state.mutex);
    response.set_content(json{{"runs", target.state.runs},
                              {"shed", target.state.shed},
                              {"fell_over", target.state.overloads},
                              {"capacity", target.state.capacity},
                              {"in_flight", target.state.in_flight},
                              {"key_counts", target.state.key_counts}}
                             .dump(),
                         kJsonType);
  });
}

cxxopts::Options CommandLine() {
  cxxopts::Options options("standin_target", "A target that echoes requests.");
  const auto text = [](const char* value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  const auto number = [](const char* value) {
    return cxxopts::value<std::int64_t>()->default_value(value);
  };
  options.add_options()("ip", "Address", text("127.0.0.1"))(
      "port", "Port", cxxopts::value<int>())(
      "workers", "Limit on concurrent connections", number("256"))(
      "name", "Name in the run log", text("target"))("service", "Service",
                                                     text("listing"))(
      "slots", "Limit on concurrent runs", number("9"))(
      "cold-capacity", "Limit on concurrent runs while cold", number("2"))(
      "warm", "Start warm")("fencing", "Check the fencing token")(
      "service-time-us", "Duration of a run", number("1000"))(
      "load-lag-ms", "Age of the load report", number("0"))(
      "mislead", "Always report an idle target")(
      "answer-bytes", "Bytes of padding in a response", number("0"))(
      "run-log", "File that gets a JSON line at the start and end of each run",
      text(""));
  return options;
}

int Run(int count, const char* const* arguments) {
  const auto parsed = CommandLine().parse(count, arguments);
  const auto number = [&](const char* name) {
    return parsed[name].as<std::int64_t>();
  };
  static Target target;
  target.state.options = {
      .name = parsed["name"].as<std::string>(),
      .service = parsed["service"].as<std::string>(),
      .slots = static_cast<std::uint32_t>(number("slots")),
      .cold_capacity = static_cast<std::uint32_t>(number("cold-capacity")),
      .starts_cold = parsed.count("warm") == 0,
      .checks_fencing = parsed.count("fencing") > 0,
      .service_time_us = number("service-time-us"),
      .load_lag_ms = number("load-lag-ms"),
      .reports_idle = parsed.count("mislead") > 0};
  target.answer_bytes = static_cast<std::size_t>(number("answer-bytes"));
  target.log = OpenLineLog(parsed["run-log"].as<std::string>());
  StartInstance(target.state, base::RandomHex128());
  StandinServer server;
  AddMonitoringEndpoints(target, server);
  AddAdminEndpoints(target, server);
  const auto run = [](const httplib::Request& request,
                      httplib::Response& response) {
    HandleRun(target, request, response);
  };
  server.Get(".*", run).Post(".*", run).Put(".*", run).Delete(".*", run);
  return Serve(server,
               {.ip = parsed["ip"].as<std::string>(),
                .port = parsed["port"].as<int>(),
                .workers = static_cast<std::size_t>(number("workers"))});
}

}  // namespace
}  // namespace eelgrassbridge::standins

int main(int count, char** arguments) {
  return eelgrassbridge::standins::Run(count, arguments);
}
