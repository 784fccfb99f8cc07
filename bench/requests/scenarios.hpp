// The measured scenarios; each prints its figures.
#ifndef EELGRASSBRIDGE_BENCH_REQUESTS_SCENARIOS_HPP
#define EELGRASSBRIDGE_BENCH_REQUESTS_SCENARIOS_HPP

namespace eelgrassbridge::bench {

/// @brief One of six targets is 20 times slower for moments.
void RunStraggler();
/// @brief Targets that warm up at different paces.
void RunColdStart();
/// @brief Goodput at several times the capacity.
void RunOverload();
/// @brief Extra load when half of the targets fail.
void RunRetryStorm();
/// @brief One client account offers most of the load.
void RunAccountFairness();
/// @brief Load over the targets with Zipf keys.
void RunImbalance();
/// @brief Deaths of targets for each poison request.
void RunPoison();
/// @brief Time of single decisions and memory of their state.
void RunDecisionCost();

}  // namespace eelgrassbridge::bench

#endif  // EELGRASSBRIDGE_BENCH_REQUESTS_SCENARIOS_HPP
