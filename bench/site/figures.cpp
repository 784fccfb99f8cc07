// Output of the measurement scenarios, one JSON line per figure.
#include "figures.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace eelgrassbridge::bench {

namespace {

nlohmann::json OrNull(const std::optional<double>& value) {
  return value ? nlohmann::json(*value) : nlohmann::json();
}

}  // namespace

void Print(const Figure& figure) {
  nlohmann::ordered_json line;
  line["scenario"] = figure.scenario;
  line["metric"] = figure.metric;
  line["unit"] = figure.unit;
  line["value"] = figure.value;
  line["baseline"] = OrNull(figure.baseline);
  line["target"] = OrNull(figure.target);
  line["better"] = figure.lower_is_better ? "lower" : "higher";
  line["met"] = nullptr;
  if (figure.target) {
    line["met"] = figure.lower_is_better ? figure.value <= *figure.target
                                         : figure.value >= *figure.target;
  }
  std::puts(line.dump().c_str());
  std::fflush(stdout);
}

void PrintCount(std::string_view scenario,
                std::string_view metric,
                double value,
                std::optional<double> target) {
  Print({.scenario = std::string(scenario),
         .metric = std::string(metric),
         .unit = "count",
         .value = value,
         .target = target});
}

void PrintSeconds(std::string_view scenario,
                  std::string_view metric,
                  double value,
                  std::optional<double> target) {
  Print({.scenario = std::string(scenario),
         .metric = std::string(metric),
         .unit = "s",
         .value = value,
         .target = target});
}

void PrintShare(std::string_view scenario,
                std::string_view metric,
                double value,
                std::optional<double> target) {
  Print({.scenario = std::string(scenario),
         .metric = std::string(metric),
         .unit = "share",
         .value = value,
         .target = target,
         .lower_is_better = false});
}

double Percentile(std::vector<double> samples, double percent) {
  if (samples.empty()) {
    return 0;
  }
  std::ranges::sort(samples);
  const auto index = static_cast<std::size_t>(
      static_cast<double>(samples.size()) * percent / 100.0);
  return samples[std::min(index, samples.size() - 1)];
}

}  // namespace eelgrassbridge::bench
