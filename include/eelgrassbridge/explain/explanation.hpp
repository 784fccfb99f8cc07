// Reconstructs the path of one request through the daemons from their logs, in
// causal order.
#ifndef EELGRASSBRIDGE_EXPLAIN_EXPLANATION_HPP
#define EELGRASSBRIDGE_EXPLAIN_EXPLANATION_HPP

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/explain/local_state.hpp"
#include "eelgrassbridge/explain/log_lines.hpp"

namespace eelgrassbridge::explain {

/// @brief One logged decision about a request.
struct Step {
  std::string daemon;
  LogLine line;
  std::vector<StateItem> local_state;
};

struct Explanation {
  std::string request;
  /// In causal order: the step of the daemon that an attempt was sent to comes
  /// before the step in which the entry logs the outcome of the attempt.
  std::vector<Step> steps;
  /// Index of the step in which the entry ended the request; none if that line
  /// was not found.
  std::optional<std::size_t> end;
  /// What the logs do not contain, with the likely reason.
  std::vector<std::string> missing;
  /// The cause of the outcome, and where to look further.
  std::string conclusion;
};

/// @brief Explains a request. Its id must be the one that was passed to
/// ReadLog().
Explanation Explain(const LogSet& logs, std::string_view request);

/// @brief Human-readable form, with several lines for each step.
std::string ToText(const Explanation& explanation);
nlohmann::json ToJson(const Explanation& explanation);

}  // namespace eelgrassbridge::explain

#endif  // EELGRASSBRIDGE_EXPLAIN_EXPLANATION_HPP
