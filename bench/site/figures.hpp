// Figures of the measurement scenarios, as lines of JSON.
#ifndef EELGRASSBRIDGE_BENCH_SITE_FIGURES_HPP
#define EELGRASSBRIDGE_BENCH_SITE_FIGURES_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassbridge::bench {

struct Figure {
  std::string scenario = {};
  std::string metric = {};
  std::string unit = {};
  double value = 0;
  /// The same without the product, or before a change, from the same run.
  std::optional<double> baseline = {};
  std::optional<double> target = {};
  /// Whether a lower value is better.
  bool lower_is_better = true;
};

/// @brief Prints the figure as one line on standard output.
void Print(const Figure& figure);

void PrintCount(std::string_view scenario,
                std::string_view metric,
                double value,
                std::optional<double> target = std::nullopt);

void PrintSeconds(std::string_view scenario,
                  std::string_view metric,
                  double value,
                  std::optional<double> target = std::nullopt);

/// @brief A share of requests, of which 1 is the best.
void PrintShare(std::string_view scenario,
                std::string_view metric,
                double value,
                std::optional<double> target = std::nullopt);

/// @brief The value that `percent` of the samples do not exceed; 0 if empty.
double Percentile(std::vector<double> samples, double percent);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_SITE_FIGURES_HPP
