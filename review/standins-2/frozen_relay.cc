// One machine freezes for 4 s just before a configuration is sent. Another
// machine, to which nothing happens, goes on with the former configuration.
#include "standins.h"

namespace {

using namespace standins;

/// Bounds and limits of the pages.
constexpr double kConfigApply = 2.5;
constexpr double kFreeze = 4.0;
constexpr double kSettle = 12;
constexpr int kRounds = 3;

std::string ConfigOf(int version, bool with_book) {
  json routes = json::array();
  routes.push_back(Route("plain", "/plain/", "idempotent", "desk"));
  if (with_book) {
    routes.push_back(Route("book", "/book/", "non_idempotent", "desk"));
  }
  return Config(version, routes, {"alpha", "beta", "desk"});
}

}  // namespace

int main(int count, char** arguments) {
  Site site;
  Prepare(site, count, arguments);
  site.Add("alpha", "a1");
  site.Add("beta", "a1");
  site.Add("desk", "a1");
  site.Begin(ConfigOf(1, true));
  // The start has no part in this: a daemon that did not answer meanwhile is
  // asked again only after 10 s.
  Sleep(kSettle);
  const Node& frozen = *site.nodes[0];
  const Node& calm = *site.nodes[2];
  int late_runs = 0;
  double latest = 0;
  int number = 0;
  int version = 1;
  for (int round = 0; round < kRounds; ++round) {
    site.store.Put("config", ConfigOf(++version, true));
    Log("version " + std::to_string(version) + " with /book/ acknowledged");
    Sleep(1.0);
    if (Ask(calm.callers, "POST", "/book/1", "r" + std::to_string(++number))
            .status != 200) {
      CannotRun("a request of a route in force is not served");
    }
    if (WithTrouble()) {
      frozen.Signal(SIGSTOP);
      Log(frozen.name + " freezes");
    }
    const double frozen_at = Now();
    Sleep(0.2);
    site.store.Put("config", ConfigOf(++version, false));
    const double acknowledged = Now();
    Log("version " + std::to_string(version) + " without /book/ acknowledged");
    bool thawed = false;
    while (Now() < acknowledged + 7) {
      if (!thawed && Now() >= frozen_at + kFreeze) {
        frozen.Signal(SIGCONT);
        thawed = true;
        Log(frozen.name + " goes on");
      }
      const Reply reply = Ask(calm.callers, "POST", "/book/1",
                              "r" + std::to_string(++number));
      const double after = reply.sent_at - acknowledged;
      if (reply.status == 200 && after > kConfigApply) {
        ++late_runs;
        latest = std::max(latest, after);
      }
      Sleep(0.05);
    }
    Sleep(3);
  }
  char text[200];
  std::snprintf(text, sizeof(text),
                "runs of a dropped route, sent later than %.1f s after the "
                "acknowledgement: %d, the latest %.2f s after it",
                kConfigApply, late_runs, latest);
  Finish(late_runs > 0, text);
}
