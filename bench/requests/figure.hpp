// Measured figures, printed as JSON lines.
#ifndef EELGRASSBRIDGE_BENCH_REQUESTS_FIGURE_HPP
#define EELGRASSBRIDGE_BENCH_REQUESTS_FIGURE_HPP

#include <optional>
#include <string>
#include <vector>

namespace eelgrassbridge::bench {

enum class Better : std::uint8_t { kLower, kHigher };

/// @brief One measured value, with the baseline's value from the same run and
/// the target value, if any.
struct Figure {
  std::string scenario;
  std::string metric;
  std::string unit;
  double value = 0;
  std::optional<double> baseline;
  std::optional<double> target;
  Better better = Better::kLower;
};

/// @brief Prints the figure as one line of JSON.
void Print(const Figure& figure);

/// @brief Returns the sample at that fraction of the sorted samples, 0 if there
/// are none; sorts them.
double Quantile(std::vector<double>& samples, double fraction);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_REQUESTS_FIGURE_HPP
