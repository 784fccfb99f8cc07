// Constructs the shared state and its counters.
#include "eelgrassbridge/daemon/request_context.hpp"

#include <spdlog/fmt/fmt.h>

#include "eelgrassbridge/base/error_table.hpp"

namespace eelgrassbridge::daemon {

RequestCounters::RequestCounters(base::CounterRegistry& registry)
    : answered(base::GetCounter(registry,
                                "requests_total",
                                "outcome=\"answered\",error=\"none\"")),
      forwarded(base::GetCounter(registry, "forwarded_requests_total")),
      retried(base::GetCounter(registry, "retried_requests_total")),
      hedged(base::GetCounter(registry, "hedged_requests_total")),
      target_deaths(base::GetCounter(registry, "target_deaths_total")) {
  for (const base::ErrorInfo& row : base::ErrorTable()) {
    this->failed[static_cast<std::size_t>(row.kind)] = &base::GetCounter(
        registry, "requests_total",
        fmt::format("outcome=\"{}\",error=\"{}\"",
                    base::OutcomeName(row.outcome), row.name));
  }
}

RequestContext::RequestContext(const settings::Settings& daemon_settings)
    : settings(daemon_settings),
      target(daemon_settings.target),
      request_counters(this->counters) {
  this->target.connections.answer_budget = &this->answer_body_budget;
  this->peers.answer_budget = &this->answer_body_budget;
  // Daemons forward requests to the port that callers use, so TLS applies to
  // forwarded requests too.
  if (daemon_settings.tls) {
    this->peers.trusted_certificates_file =
        daemon_settings.tls->certificate_file;
  }
}

}  // namespace eelgrassbridge::daemon
