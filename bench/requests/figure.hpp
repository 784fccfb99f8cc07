// Figures as JSON lines.
#ifndef EELGRASSBRIDGE_BENCH_REQUESTS_FIGURE_HPP
#define EELGRASSBRIDGE_BENCH_REQUESTS_FIGURE_HPP

#include <optional>
#include <string>
#include <vector>

namespace eelgrassbridge::bench {

enum class Better : std::uint8_t { kLower, kHigher };

/// @brief One measured value beside that of a plain baseline of the same run.
struct Figure {
  std::string scenario;
  std::string metric;
  std::string unit;
  double value = 0;
  std::optional<double> baseline;
  std::optional<double> target;
  Better better = Better::kLower;
};

/// @brief Prints one JSON object on a line of its own.
void Print(const Figure& figure);

/// @brief Value at that part of the sorted samples; sorts them.
double Quantile(std::vector<double>& samples, double part);

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_REQUESTS_FIGURE_HPP
