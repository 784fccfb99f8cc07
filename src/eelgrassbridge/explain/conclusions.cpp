// Explanatory texts for the causes with which a request can end.
#include "eelgrassbridge/explain/conclusions.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include "eelgrassbridge/node/event_log.hpp"

namespace eelgrassbridge::explain {

namespace {

struct Conclusion {
  std::string_view cause;
  std::string_view text;
};

constexpr std::array kConclusions{
    Conclusion{"overloaded",
               "Not run: no target that was asked had a free slot in time. "
               "Compare in_flight and slots of the steps; a cold target takes "
               "only the rate that the routes state."},
    Conclusion{"target_refused",
               "Not run: the target itself refused. Compare in_flight with its "
               "slots, and look for a restart of it."},
    Conclusion{"no_owner",
               "Not run: the key had no owner that the entry knew of. Look for "
               "the end of the last owner's lease and for ranges_planned."},
    Conclusion{"not_owner",
               "Not run: the daemon that was asked could not let its target "
               "hold the key. Its lease, or the version of its ranges, tells "
               "why."},
    Conclusion{
        "no_target",
        "Not run: no member of the service was eligible for the request. "
        "Check members, home regions and data centres out of service."},
    Conclusion{"not_ready",
               "Not run: the entry had not read the routes and members yet."},
    Conclusion{"draining", "Not run: a daemon or target was about to leave."},
    Conclusion{"peer_unreachable",
               "Not run: no connection to the daemon that was asked. Look for "
               "its end, or for a network failure between the VMs."},
    Conclusion{"answer_cut",
               "May have run: the connection ended before the whole answer."},
    Conclusion{"peer_lost",
               "May have run: the daemon that was asked was lost meanwhile."},
    Conclusion{"target_lost", "May have run: the target was lost meanwhile."},
    Conclusion{"target_timeout",
               "May have run: the time limit of the caller or route expired."},
    Conclusion{"peer_timeout",
               "May have run: the daemon did not answer in time."},
    Conclusion{"unauthorized",
               "Rejected: no account in force has the key of the request, or "
               "its account was withdrawn. With status 502, an earlier attempt "
               "may have run."},
    Conclusion{"unknown_service",
               "Rejected: no route of the version in force matches."},
};

std::string_view TextFor(std::string_view cause) {
  const auto* const found =
      std::ranges::find(kConclusions, cause, &Conclusion::cause);
  return found == kConclusions.end() ? std::string_view{} : found->text;
}

/// Whether a daemon sent the request to its target and logged that outcome.
bool HasRunOutcome(const Explanation& explanation, std::string_view outcome) {
  return std::ranges::any_of(explanation.steps, [outcome](const Step& step) {
    return step.line.event == node::EventName(node::EventKind::kRequestRun) &&
           TextOf(step.line, "outcome") == outcome;
  });
}

}  // namespace

std::string ConclusionOf(const Explanation& explanation) {
  if (explanation.steps.empty()) {
    return "Nothing is known of the request.";
  }
  const Step& last =
      explanation.steps[explanation.end.value_or(explanation.steps.size() - 1)];
  const std::string cause = TextOf(last.line, "cause");
  if (last.line.event == node::EventName(node::EventKind::kRequestAnswered)) {
    return "Answered with status " + TextOf(last.line, "status") + ".";
  }
  if (last.line.event == node::EventName(node::EventKind::kCallerLeft)) {
    return "The caller closed its connection before the answer.";
  }
  std::string text(TextFor(cause));
  if (text.empty()) {
    text = "The cause is " + (cause.empty() ? "not logged" : cause) + ".";
  }
  if (!text.starts_with("May have run")) {
    return text;
  }
  if (HasRunOutcome(explanation, "answered")) {
    text += " A target did run it.";
  } else if (HasRunOutcome(explanation, "unknown")) {
    text += " It was sent to a target.";
  }
  return text;
}

}  // namespace eelgrassbridge::explain
