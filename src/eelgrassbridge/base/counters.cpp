// Registers counters and formats them for Prometheus.
#include "eelgrassbridge/base/counters.hpp"

#include <spdlog/fmt/fmt.h>

namespace eelgrassbridge::base {

Counter& GetCounter(CounterRegistry& registry,
                    std::string_view name,
                    std::string_view labels) {
  const std::string key = labels.empty()
                              ? std::string(name)
                              : fmt::format("{}{{{}}}", name, labels);
  const std::scoped_lock lock(registry.mutex);
  const auto found = registry.by_name.find(key);
  if (found != registry.by_name.end()) {
    return *found->second;
  }
  Counter& counter = registry.values.emplace_back(0);
  registry.by_name.emplace(key, &counter);
  return counter;
}

std::string PrometheusText(CounterRegistry& registry) {
  std::string text;
  std::string previous_name;
  const std::scoped_lock lock(registry.mutex);
  for (const auto& [key, counter] : registry.by_name) {
    const std::string name = key.substr(0, key.find('{'));
    if (name != previous_name) {
      const bool is_total = name.ends_with("_total");
      text += fmt::format("# TYPE eelgrassbridge_{} {}\n", name,
                          is_total ? "counter" : "gauge");
      previous_name = name;
    }
    text += fmt::format("eelgrassbridge_{} {}\n", key, counter->load());
  }
  return text;
}

}  // namespace eelgrassbridge::base
