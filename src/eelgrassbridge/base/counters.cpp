// Registration and printing of counters.
#include "eelgrassbridge/base/counters.hpp"

#include <spdlog/fmt/fmt.h>

namespace eelgrassbridge::base {

Counter& GetCounter(CounterRegistry& registry,
                    std::string_view name,
                    std::string_view labels) {
  const std::string full = labels.empty()
                               ? std::string(name)
                               : fmt::format("{}{{{}}}", name, labels);
  const std::scoped_lock lock(registry.mutex);
  const auto found = registry.by_name.find(full);
  if (found != registry.by_name.end()) {
    return *found->second;
  }
  Counter& counter = registry.values.emplace_back(0);
  registry.by_name.emplace(full, &counter);
  return counter;
}

std::string PrometheusText(CounterRegistry& registry) {
  std::string text;
  std::string previous;
  const std::scoped_lock lock(registry.mutex);
  for (const auto& [full, counter] : registry.by_name) {
    const std::string name = full.substr(0, full.find('{'));
    if (name != previous) {
      const bool is_total = name.ends_with("_total");
      text += fmt::format("# TYPE eelgrassbridge_{} {}\n", name,
                          is_total ? "counter" : "gauge");
      previous = name;
    }
    text += fmt::format("eelgrassbridge_{} {}\n", full, counter->load());
  }
  return text;
}

}  // namespace eelgrassbridge::base
