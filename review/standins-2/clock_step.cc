// The time of day of a machine jumps back, and its instance crashes and starts
// again under its id, so that its start is told as earlier than the former one.
// Its leaving is acknowledged, and it gets requests all the same.
#include "standins.h"

namespace {

using namespace standins;

constexpr double kDrain = 2.5;
constexpr double kContact = 4;
constexpr std::int64_t kStepMs = 2400;
constexpr double kStepTime = 6;
constexpr double kDown = 0.5;

void Restart(Instance& instance, std::int64_t clock_error_ms) {
  instance.Crash();
  Log(instance.id + " crashes");
  Sleep(kDown);
  instance.born = Instance::UnixMilliseconds() + clock_error_ms;
  instance.sequence = 0;
  instance.up = true;
  Log(instance.id + " is back, born " + std::to_string(instance.born));
  instance.Beat();
}

}  // namespace

int main(int count, char** arguments) {
  Site site;
  Prepare(site, count, arguments);
  site.Add("desk", "a1");
  site.Add("desk", "a1");
  json routes = json::array();
  routes.push_back(Route("book", "/book/", "non_idempotent", "desk"));
  site.Begin(Config(1, routes, {"desk"}));
  Instance& instance = site.nodes[0]->instance;
  if (WithTrouble()) {
    Restart(instance, 0);
    Sleep(0.7);
    Log("the time of day of " + site.nodes[0]->name + " jumps back by 2.4 s");
    const double stepped_at = Now();
    Sleep(0.2);
    Restart(instance, -kStepMs);
    Sleep(stepped_at + kStepTime - Now());
    Log("the time of day of " + site.nodes[0]->name + " jumps forward again");
  }
  Sleep(kContact + 1);
  int number = 0;
  const auto ask = [&site, &number] {
    const std::size_t node = static_cast<std::size_t>(number) % 2;
    return Ask(site.nodes[node]->callers, "POST", "/book/1",
               "r" + std::to_string(++number))
        .status;
  };
  for (int i = 0; i < 20; ++i) {
    if (ask() != 200) {
      CannotRun("a request is not served before the instance leaves");
    }
  }
  instance.draining = true;
  int status = 0;
  while (status != 200) {
    status = instance.Beat();
    Log(instance.id + " says that it leaves -> " + std::to_string(status));
  }
  const double acknowledged = Now();
  while (Now() < acknowledged + 6) {
    ask();
    Sleep(0.05);
  }
  instance.Crash();
  Log(instance.id + " exits");
  int not_served = 0;
  while (Now() < acknowledged + 8) {
    not_served += ask() == 200 ? 0 : 1;
    Sleep(0.05);
  }
  int late_runs = 0;
  {
    const std::lock_guard lock(TheRuns().mutex);
    for (const Run& run : TheRuns().all) {
      late_runs += run.instance == instance.id &&
                           run.at > acknowledged + kDrain
                       ? 1
                       : 0;
    }
  }
  Finish(late_runs > 0,
         "requests that reached the instance later than drain_s after the "
         "acknowledgement: " +
             std::to_string(late_runs) +
             "; not served after it had left: " + std::to_string(not_served));
}
