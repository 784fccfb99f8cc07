// Prints figures and computes quantiles.
#include "bench/requests/figure.hpp"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <nlohmann/json.hpp>

namespace eelgrassbridge::bench {

namespace {

nlohmann::ordered_json Rounded(const std::optional<double>& value) {
  if (!value) {
    return nullptr;
  }
  constexpr double kDigits = 1000;
  return std::round(*value * kDigits) / kDigits;
}

}  // namespace

void Print(const Figure& figure) {
  nlohmann::ordered_json line;
  line["scenario"] = figure.scenario;
  line["metric"] = figure.metric;
  line["unit"] = figure.unit;
  line["value"] = Rounded(figure.value);
  line["baseline"] = Rounded(figure.baseline);
  line["target"] = Rounded(figure.target);
  line["better"] = figure.better == Better::kLower ? "lower" : "higher";
  line["met"] = nullptr;
  if (figure.target) {
    line["met"] = figure.better == Better::kLower
                      ? figure.value <= *figure.target
                      : figure.value >= *figure.target;
  }
  std::cout << line.dump() << '\n';
}

double Quantile(std::vector<double>& samples, double fraction) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  const auto position = static_cast<std::size_t>(
      fraction * static_cast<double>(samples.size() - 1));
  return samples[position];
}

}  // namespace eelgrassbridge::bench
