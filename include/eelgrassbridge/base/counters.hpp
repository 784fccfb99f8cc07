// Named counters of one daemon, with labels, and their Prometheus text form.
#ifndef EELGRASSBRIDGE_BASE_COUNTERS_HPP
#define EELGRASSBRIDGE_BASE_COUNTERS_HPP

#include <atomic>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace eelgrassbridge::base {

/// @brief A counter or gauge that any thread may change.
using Counter = std::atomic<std::int64_t>;

/// @brief All counters of a process.
///
/// Invariants: a counter, once made, lives as long as the registry, so callers
/// keep references; labels never hold keys, accounts or request contents, so
/// that metrics cannot carry data out of its home regions.
struct CounterRegistry {
  std::mutex mutex;
  std::deque<Counter> values;
  /// Name with labels in Prometheus form, e.g. requests_total{kind="claim"}.
  std::map<std::string, Counter*, std::less<>> by_name;
};

/// @brief The counter of that name and label set; made at the first call.
Counter& GetCounter(CounterRegistry& registry,
                    std::string_view name,
                    std::string_view labels = {});

/// @brief All counters in Prometheus text format, prefix "eelgrassbridge_".
std::string PrometheusText(CounterRegistry& registry);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_COUNTERS_HPP
