// Machines are lost for good. The machines that remain learn of a later
// configuration too late, since the lost ones keep their rank as relays.
#include "standins.h"

namespace {

using namespace standins;

constexpr double kConfigApply = 2.5;
constexpr int kRounds = 3;

std::string ConfigOf(int version, bool with_book) {
  json routes = json::array();
  routes.push_back(Route("plain", "/plain/", "idempotent", "desk"));
  if (with_book) {
    routes.push_back(Route("book", "/book/", "non_idempotent", "desk"));
  }
  return Config(version, routes, {"desk"});
}

}  // namespace

int main(int count, char** arguments) {
  Site site;
  Prepare(site, count, arguments);
  for (const char* zone : {"a1", "a1", "a1", "a2", "a2", "a2"}) {
    site.Add("desk", zone);
  }
  site.Begin(ConfigOf(1, true));
  if (WithTrouble()) {
    for (const std::size_t lost : {0, 1, 3, 4}) {
      site.nodes[lost]->Kill();
      site.nodes[lost]->instance.Crash();
      Log(site.nodes[lost]->name + " is lost for good with its instance");
    }
  }
  Sleep(12);
  int late_runs = 0;
  double latest = 0;
  int number = 0;
  int version = 1;
  for (int round = 0; round < kRounds; ++round) {
    site.store.Put("config", ConfigOf(++version, true));
    Log("version " + std::to_string(version) + " with /book/ acknowledged");
    Sleep(16.5);
    site.store.Put("config", ConfigOf(++version, false));
    const double acknowledged = Now();
    Log("version " + std::to_string(version) + " without /book/ acknowledged");
    while (Now() < acknowledged + 7) {
      for (const std::size_t left : {2, 5}) {
        const Reply reply = Ask(site.nodes[left]->callers, "POST", "/book/1",
                                "r" + std::to_string(++number));
        const double after = reply.sent_at - acknowledged;
        if (reply.status == 200 && after > kConfigApply) {
          ++late_runs;
          latest = std::max(latest, after);
        }
      }
      Sleep(0.05);
    }
  }
  char text[200];
  std::snprintf(text, sizeof(text),
                "runs of a dropped route, sent later than %.1f s after the "
                "acknowledgement: %d, the latest %.2f s after it",
                kConfigApply, late_runs, latest);
  Finish(late_runs > 0, text);
}
