// Output of the measurements, one JSON object per line.
#ifndef EELGRASSBRIDGE_BENCH_OWNERSHIP_COST_OUTPUT_HPP
#define EELGRASSBRIDGE_BENCH_OWNERSHIP_COST_OUTPUT_HPP

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

namespace eelgrassbridge::ownership_cost {

/// @brief Prints one measured value, for which lower is better. `target` may be
/// null.
inline void Print(const std::string& scenario,
                  const std::string& metric,
                  const std::string& unit,
                  double value,
                  const nlohmann::json& baseline,
                  const nlohmann::json& target) {
  const nlohmann::ordered_json line{
      {"scenario", scenario},
      {"metric", metric},
      {"unit", unit},
      {"value", value},
      {"baseline", baseline},
      {"target", target},
      {"better", "lower"},
      {"met", target.is_null()
                  ? nlohmann::json()
                  : nlohmann::json(value <= target.get<double>())}};
  std::printf("%s\n", line.dump().c_str());
}

/// @brief Measures the group moves after each kind of event (churn.cpp).
void MeasureChurn(std::uint32_t data_centres, std::uint32_t members_each);

}  // namespace eelgrassbridge::ownership_cost

#endif  // EELGRASSBRIDGE_BENCH_OWNERSHIP_COST_OUTPUT_HPP
