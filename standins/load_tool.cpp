// Load generator with a bounded number of callers. Prints a JSON summary once
// its time is up, or after SIGTERM once the requests in flight have ended.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "load_caller.hpp"

namespace eelgrassbridge::standins {
namespace {

using nlohmann::json;

constexpr std::uint32_t kMaxCallers = 256;
constexpr double kMaxSeconds = 900;
// The SIGTERM handler stores to LoadRun::end_us.
static_assert(std::atomic<std::int64_t>::is_always_lock_free);

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

// service/kind:METHOD:idempotent|once:BODY_BYTES:WEIGHT
LoadKind ParseKind(const std::string& text) {
  const auto parts = Split(text, ':');
  const auto slash = parts.at(0).find('/');
  return {.service = parts.at(0).substr(0, slash),
          .kind = parts.at(0).substr(slash + 1),
          .method = parts.at(1),
          .idempotent = parts.at(2) == "idempotent",
          .body_bytes = std::stoul(parts.at(3)),
          .weight = std::stod(parts.at(4))};
}

LoadAddress ParseAddress(const std::string& text) {
  const auto parts = Split(text, ':');
  return {.ip = parts.at(0), .port = std::stoi(parts.at(1))};
}

json LatencyJson(std::vector<std::int64_t> samples) {
  if (samples.empty()) {
    return {{"count", 0}};
  }
  std::ranges::sort(samples);
  const auto at = [&](std::size_t percent) {
    return samples[std::min(samples.size() - 1,
                            samples.size() * percent / 100)];
  };
  return {{"count", samples.size()},
          {"p50_us", at(50)},
          {"p99_us", at(99)},
          {"max_us", samples.back()}};
}

void AddCounts(std::map<std::string, std::uint64_t>& sum,
               const std::map<std::string, std::uint64_t>& counts) {
  for (const auto& [name, count] : counts) {
    sum[name] += count;
  }
}

void Add(LoadResults& sum, LoadResults results) {
  sum.requests += results.requests;
  AddCounts(sum.outcomes, results.outcomes);
  AddCounts(sum.errors, results.errors);
  AddCounts(sum.statuses, results.statuses);
  AddCounts(sum.faults, results.faults);
  for (auto& [kind, samples] : results.latencies) {
    auto& all = sum.latencies[kind];
    all.insert(all.end(), samples.begin(), samples.end());
  }
  sum.failed_at_us.insert(sum.failed_at_us.end(), results.failed_at_us.begin(),
                          results.failed_at_us.end());
}

json Summary(const LoadRun& run, const LoadResults& results) {
  const double seconds =
      static_cast<double>(UnixMicroseconds() - run.start_us) / 1e6;
  std::vector<std::int64_t> all;
  json kinds = json::object();
  for (const auto& [kind, samples] : results.latencies) {
    all.insert(all.end(), samples.begin(), samples.end());
    kinds[kind] = LatencyJson(samples);
  }
  json summary = LatencyJson(all);
  summary["requests"] = results.requests;
  summary["seconds"] = seconds;
  summary["rate"] = static_cast<double>(all.size()) / seconds;
  summary["outcomes"] = results.outcomes;
  summary["errors"] = results.errors;
  summary["statuses"] = results.statuses;
  summary["faults"] = results.faults;
  summary["kinds"] = kinds;
  return summary;
}

cxxopts::Options CommandLine() {
  cxxopts::Options options(
      "load_tool", "Sends a mix of requests from a bounded number of callers.");
  const auto text = [](const char* value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  const auto real = [](const char* value) {
    return cxxopts::value<double>()->default_value(value);
  };
  const auto number = [](const char* value) {
    return cxxopts::value<std::uint64_t>()->default_value(value);
  };
  options.add_options()("entry", "IP:PORT, several joined by commas", text(""))(
      "kind",
      "service/kind:METHOD:idempotent|once:BODY_BYTES:WEIGHT, several "
      "joined by commas",
      text("listing/lookup:GET:idempotent:0:1"))("callers", "At most 256",
                                                 number("1"))(
      "seconds", "At most 900", real("10"))("requests", "0: no limit",
                                            number("0"))(
      "rate", "Requests per second; 0: closed loop", real("0"))(
      "keys", "Number of keys", number("1000"))(
      "key-prefix", "Prefix of each key", text("key-"))(
      "zipf", "Exponent of the Zipf distribution of keys; 0: uniform",
      real("0"))("hot-share", "Share of the requests that use the first key",
                 real("0"))("account", "Client account", text(""))(
      "deadline-ms", "0: none", number("0"))(
      "seed", "Random seed, also the prefix of every tag", number("1"))(
      "resends", "Retries of a failed request under the same request id",
      number("0"))("direct", "The entries are targets, not daemons")(
      "lines", "File that gets one JSON line per attempt", text(""));
  return options;
}

LoadOptions ReadOptions(const cxxopts::ParseResult& parsed) {
  const auto number = [&](const char* name) {
    return parsed[name].as<std::uint64_t>();
  };
  const auto text = [&](const char* name) {
    return parsed[name].as<std::string>();
  };
  LoadOptions options;
  for (const auto& entry : Split(text("entry"), ',')) {
    options.entries.push_back(ParseAddress(entry));
  }
  for (const auto& kind : Split(text("kind"), ',')) {
    options.kinds.push_back(ParseKind(kind));
  }
  options.callers = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(number("callers"), kMaxCallers));
  options.seconds = std::min(parsed["seconds"].as<double>(), kMaxSeconds);
  options.max_requests = number("requests");
  options.rate = parsed["rate"].as<double>();
  options.keys = static_cast<std::uint32_t>(number("keys"));
  options.key_prefix = text("key-prefix");
  options.zipf = parsed["zipf"].as<double>();
  options.hot_share = parsed["hot-share"].as<double>();
  options.account = text("account");
  options.deadline_ms = static_cast<std::int64_t>(number("deadline-ms"));
  options.seed = number("seed");
  options.resends = static_cast<std::uint32_t>(number("resends"));
  options.direct = parsed.count("direct") > 0;
  options.lines_file = text("lines");
  return options;
}

int Run(int count, const char* const* arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  static LoadRun run;
  run.options = ReadOptions(CommandLine().parse(count, arguments));
  if (run.options.entries.empty()) {
    std::fputs("--entry is missing\n", stderr);
    return 2;
  }
  PrepareRun(run);
  std::signal(SIGTERM, [](int) { run.end_us = 0; });
  std::vector<LoadResults> results(run.options.callers);
  std::vector<std::thread> threads;
  for (std::uint32_t index = 0; index < run.options.callers; ++index) {
    threads.emplace_back(
        [&, index] { results[index] = RunCaller(run, index); });
  }
  LoadResults sum;
  for (std::uint32_t index = 0; index < run.options.callers; ++index) {
    threads[index].join();
    Add(sum, std::move(results[index]));
  }
  std::puts(Summary(run, sum).dump().c_str());
  return 0;
}

}  // namespace
}  // namespace eelgrassbridge::standins

int main(int count, char** arguments) {
  return eelgrassbridge::standins::Run(count, arguments);
}
