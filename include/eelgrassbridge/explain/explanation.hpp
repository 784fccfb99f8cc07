// The path of one request through the daemons, in order of causes.
#ifndef EELGRASSBRIDGE_EXPLAIN_EXPLANATION_HPP
#define EELGRASSBRIDGE_EXPLAIN_EXPLANATION_HPP

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/explain/beliefs.hpp"
#include "eelgrassbridge/explain/log_lines.hpp"

namespace eelgrassbridge::explain {

/// @brief One decision on the way of a request.
struct Step {
  std::string daemon;
  LogLine line;
  std::vector<Belief> beliefs;
};

struct Explanation {
  std::string request;
  /// An attempt's steps at the daemon that was asked stand before the step in
  /// which the entry says what has become of the attempt.
  std::vector<Step> steps;
  /// The step with which the entry ended the request, if there is one.
  std::optional<std::size_t> end;
  /// What the logs cannot tell, and why.
  std::vector<std::string> missing;
  /// The cause in a sentence, and what to do about it.
  std::string conclusion;
};

/// @brief Explains the request whose lines were kept while reading.
Explanation Explain(const LogSet& logs, std::string_view request);

/// @brief The explanation for people, some lines for each step.
std::string ToText(const Explanation& explanation);
nlohmann::json ToJson(const Explanation& explanation);

}  // namespace eelgrassbridge::explain

#endif  // EELGRASSBRIDGE_EXPLAIN_EXPLANATION_HPP
