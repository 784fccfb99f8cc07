// The benchmark scenarios; each prints its figures.
#ifndef EELGRASSBRIDGE_BENCH_REQUESTS_SCENARIOS_HPP
#define EELGRASSBRIDGE_BENCH_REQUESTS_SCENARIOS_HPP

namespace eelgrassbridge::bench {

/// @brief One of six targets at a time is briefly 20 times slower.
void RunStraggler();
/// @brief Targets warm up at different rates.
void RunColdStart();
/// @brief Goodput at several times the capacity.
void RunOverload();
/// @brief Extra load when half of the targets fail.
void RunRetryStorm();
/// @brief One client account offers most of the load.
void RunAccountFairness();
/// @brief Distribution of load over the targets with Zipf keys.
void RunImbalance();
/// @brief Target deaths per poison request.
void RunPoison();
/// @brief Time of single decisions and memory of their state.
void RunDecisionCost();

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_REQUESTS_SCENARIOS_HPP
