// Registry of the daemon's labelled metrics, and their Prometheus text format.
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

/// @brief A counter or gauge; any thread may change it.
using Counter = std::atomic<std::int64_t>;

/// @brief All counters of a process.
///
/// Invariants: a counter lives as long as the registry, so callers may keep
/// references to it; labels never contain keys, accounts or request contents,
/// because metrics may leave the home regions of a client account.
struct CounterRegistry {
  std::mutex mutex;
  std::deque<Counter> values;
  /// Keyed by name and labels in Prometheus syntax, e.g.
  /// requests_total{kind="claim"}.
  std::map<std::string, Counter*, std::less<>> by_name;
};

/// @brief Returns the counter with that name and these labels; creates it on
/// the first call.
Counter& GetCounter(CounterRegistry& registry,
                    std::string_view name,
                    std::string_view labels = {});

/// @brief Returns all counters in Prometheus text format, with the prefix
/// "eelgrassbridge_".
std::string PrometheusText(CounterRegistry& registry);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_COUNTERS_HPP
