// One machine loses its path to the store for 5.5 s, and a zone is evacuated
// meanwhile. Another machine, to which nothing happens, goes on sending
// requests to an instance in that zone.
#include "standins.h"

namespace {

using namespace standins;

/// Bounds and limits of the pages.
constexpr double kEvacuation = 5;
constexpr double kCut = 5.5;
constexpr double kSettle = 12;
constexpr int kRounds = 3;

std::string ConfigOf(int version) {
  json routes = json::array();
  routes.push_back(Route("book", "/book/", "non_idempotent", "desk"));
  return Config(version, routes, {"alpha", "beta", "desk"});
}

}  // namespace

int main(int count, char** arguments) {
  Site site;
  Prepare(site, count, arguments);
  site.Add("alpha", "a1");
  site.Add("beta", "a1");
  site.Add("desk", "a1");
  site.Add("desk", "b1");
  site.Begin(ConfigOf(1));
  Sleep(kSettle);
  constexpr std::size_t kCutMachine = 0;
  constexpr std::size_t kCalm = 2;
  const Node& calm = *site.nodes[kCalm];
  auto ask = [&calm, number = 0]() mutable {
    return Ask(calm.callers, "POST", "/book/1", "r" + std::to_string(++number));
  };
  int late_runs = 0;
  double latest = 0;
  int version = 1;
  for (int round = 0; round < kRounds; ++round) {
    // The calm machine reads the store itself every 8 to 13 s. The round begins
    // after such a read.
    const double before = site.store.paths[kCalm]->read_at;
    const double give_up = Now() + 15;
    while (site.store.paths[kCalm]->read_at == before && Now() < give_up) {
      ask();
      Sleep(0.1);
    }
    Sleep(0.3);
    site.store.Put("config", ConfigOf(++version));
    Log("version " + std::to_string(version) + " acknowledged");
    Sleep(0.5);
    const double cut_at = Now();
    if (WithTrouble()) {
      site.store.SetCut(kCutMachine, true);
      Log(site.nodes[kCutMachine]->name + " is cut off from the store");
    }
    Sleep(0.1);
    site.store.Put("evacuate/a1", "{}");
    const double acknowledged = Now();
    Log("the evacuation of a1 is acknowledged");
    bool healed = !WithTrouble();
    while (Now() < acknowledged + 9) {
      if (!healed && Now() >= cut_at + kCut) {
        site.store.SetCut(kCutMachine, false);
        healed = true;
        Log(site.nodes[kCutMachine]->name + " reaches the store again");
      }
      const Reply reply = ask();
      const double after = reply.sent_at - acknowledged;
      if (reply.body.starts_with("by " + calm.instance.id + " ") &&
          after > kEvacuation) {
        ++late_runs;
        latest = std::max(latest, after);
      }
      Sleep(0.05);
    }
    site.store.Remove("evacuate/a1");
    Log("the evacuation of a1 is taken back");
    Sleep(4);
  }
  char text[200];
  std::snprintf(text, sizeof(text),
                "requests that reached an instance in the zone, sent later "
                "than %.1f s after the acknowledgement: %d, the latest %.2f s "
                "after it",
                kEvacuation, late_runs, latest);
  Finish(late_runs > 0, text);
}
