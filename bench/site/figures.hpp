// Output of the measurement scenarios, one JSON line per figure.
#ifndef EELGRASSBRIDGE_BENCH_SITE_FIGURES_HPP
#define EELGRASSBRIDGE_BENCH_SITE_FIGURES_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbridge::bench {

/// @brief One measured value.
struct Figure {
  std::string scenario = {};
  std::string metric = {};
  std::string unit = {};
  double value = 0;
  /// The value without the product, or before a change, from the same run.
  std::optional<double> baseline = {};
  /// Value to be met; none: the figure is informational.
  std::optional<double> target = {};
  bool lower_is_better = true;
};

/// @brief Prints the figure as a JSON line on standard output.
void Print(const Figure& figure);

void PrintCount(std::string_view scenario,
                std::string_view metric,
                double value,
                std::optional<double> target = std::nullopt);

void PrintSeconds(std::string_view scenario,
                  std::string_view metric,
                  double value,
                  std::optional<double> target = std::nullopt);

/// @brief Prints a share of requests between 0 and 1, where higher is better.
void PrintShare(std::string_view scenario,
                std::string_view metric,
                double value,
                std::optional<double> target = std::nullopt);

/// @brief Returns the given percentile of the samples; 0 if there are none.
double Percentile(std::vector<double> samples, double percent);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_FIGURES_HPP
