// State and functions shared by the sources of the history model.
#ifndef EELGRASSBRIDGE_BENCH_HISTORIES_SIMULATION_HPP
#define EELGRASSBRIDGE_BENCH_HISTORIES_SIMULATION_HPP

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "checker.hpp"
#include "eelgrassbridge/ownership/ownership_commands.hpp"
#include "history_model.hpp"

namespace eelgrassbridge::histories {

/// @brief Simulated real time in microseconds.
using Micros = std::int64_t;
inline constexpr Micros kMillisecond = 1000;
inline constexpr Micros kSecond = 1000000;
inline constexpr Micros kRunLimit = 300 * kMillisecond;

struct Event {
  Micros at = 0;
  std::uint64_t order = 0;
  std::function<void()> run;
};

struct LaterEvent {
  bool operator()(const Event& a, const Event& b) const {
    return std::pair(a.at, a.order) > std::pair(b.at, b.order);
  }
};

/// @brief The gate of one group in one daemon.
struct Gate {
  std::uint64_t epoch = 0;
  base::TimePoint lease_end;
  std::vector<std::uint64_t> carved_out;
  bool released = false;
  int in_flight = 0;
};

/// @brief One VM with its daemon and target.
struct Slot {
  std::uint32_t index = 0;
  /// Raised at each restart; events of older runs are dropped.
  std::uint32_t run = 0;
  bool alive = false;
  Micros paused_until = 0;
  double rate = 1;
  Micros offset = 0;
  /// Time lost by a clock that stops on suspend.
  Micros clock_lost = 0;
  ownership::OwnershipState core;
  std::map<base::GroupId, std::shared_ptr<Gate>> gates;
  /// Failure detector of this daemon: when each member was last reachable.
  std::map<base::DaemonId, Micros> last_reachable;
  /// Members that are regarded as lost, at least until the given time.
  std::map<base::DaemonId, Micros> lost_until;
  /// Requests that run on the target: index in the history, and the real time
  /// of their Not-After.
  std::vector<std::pair<std::size_t, Micros>> running;
};

struct TableRow {
  std::uint64_t version = 0;
  std::string value;
};

struct Simulation {
  HistoryOptions options;
  std::mt19937_64 random;
  Micros now = 0;
  std::uint64_t next_order = 0;
  std::priority_queue<Event, std::vector<Event>, LaterEvent> events;
  std::vector<Slot> slots;
  /// Until when messages from one slot to another are dropped.
  std::vector<std::vector<Micros>> cut_until;
  std::vector<Micros> store_cut_until;
  Micros store_down_until = 0;
  Micros store_slow_until = 0;
  Micros lossy_until = 0;
  std::map<std::string, TableRow> table;
  std::uint64_t table_revision = 0;
  std::shared_ptr<const catalogue::Catalogue> catalogue;
  bool is_hot = false;
  bool is_healed = false;
  History history;
  HistoryResult result;
};

Micros Draw(Simulation& sim, Micros low, Micros high);
bool Chance(Simulation& sim, int percent);
void At(Simulation& sim, Micros at, std::function<void()> run);
base::TimePoint LocalTime(const Simulation& sim, const Slot& slot);
/// @brief Real time at which the slot's clock shows `local`.
Micros RealTime(const Simulation& sim, const Slot& slot, base::TimePoint local);

/// @brief Runs `step` in that run of a daemon, after its pause if it is paused.
void InDaemon(Simulation& sim,
              std::uint32_t slot,
              std::uint32_t run,
              Micros at,
              std::function<void(Slot&)> step);

/// @brief Carries out the actions of a core (driver.cpp).
void CarryOut(Simulation& sim, Slot& slot, ownership::Actions& actions);
void StartDaemon(Simulation& sim, Slot& slot);
void SendRequest(Simulation& sim, Slot& slot);
/// @brief Sends all rows to one other daemon, as gossip does to repair
/// outdated views.
void SendRows(Simulation& sim, Slot& slot);

/// @brief The store (table.cpp).
void SubmitToTable(Simulation& sim,
                   Slot& slot,
                   const store::Transaction& transaction);
void ReadFromTable(Simulation& sim,
                   Slot& slot,
                   std::vector<base::GroupId> groups,
                   bool whole_table);

/// @brief Selects a random fault and begins it (faults.cpp).
void BeginFault(Simulation& sim);
void Heal(Simulation& sim);
/// @brief Failure detector of one daemon.
void Detect(Simulation& sim, Slot& slot);
void PublishCatalogue(Simulation& sim, catalogue::Catalogue changed);

}  // namespace eelgrassbridge::histories

#endif  // EELGRASSBRIDGE_BENCH_HISTORIES_SIMULATION_HPP
