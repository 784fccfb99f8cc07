// Set-up and main loop of the history model.
#include "history_model.hpp"

#include <algorithm>
#include <set>

#include "simulation.hpp"

namespace eelgrassbridge::histories {

namespace {

constexpr std::uint64_t kHotKeyHash = 111;
constexpr std::uint32_t kKeys = 3;

catalogue::Catalogue FirstCatalogue() {
  catalogue::Catalogue catalogue;
  catalogue.site = "model";
  for (int i = 0; i < 3; ++i) {
    catalogue.data_centres.push_back({"dc" + std::to_string(i), "sur"});
  }
  catalogue::Service service;
  service.name = "listing";
  service.divided_by_key = true;
  service.instances = 2;
  service.groups_per_instance = 1;
  service.run_limit = base::Duration{kRunLimit};
  service.regions = {"sur"};
  catalogue.services.push_back(service);
  return catalogue;
}

/// Repeats `step` at random intervals in the daemon's current run.
void Repeat(Simulation& sim,
            std::uint32_t index,
            Micros low,
            Micros high,
            void (*step)(Simulation&, Slot&)) {
  At(sim, sim.now + Draw(sim, low, high), [&sim, index, low, high, step] {
    Slot& slot = sim.slots[index];
    if (slot.alive && sim.now >= slot.paused_until) {
      step(sim, slot);
    }
    Repeat(sim, index, low, high, step);
  });
}

void Tick(Simulation& sim, Slot& slot) {
  ownership::Actions actions;
  ownership::OnTick(slot.core, LocalTime(sim, slot), actions);
  CarryOut(sim, slot, actions);
}

void ReportDemand(Simulation& sim, Slot& slot) {
  std::vector<ownership::GroupDemand> demands;
  for (const auto& [group, owned] : slot.core.owned) {
    const double key_load = sim.is_hot ? 60 : 0.5;
    if (group.hot_key) {
      demands.push_back({group, key_load, {}});
    } else if (group.index == 0 && owned.row.carved_out.empty()) {
      demands.push_back({group, 50 + key_load, {{kHotKeyHash, key_load}}});
    } else {
      demands.push_back({group, 50, {}});
    }
  }
  ownership::OnDemand(slot.core, LocalTime(sim, slot), demands);
}

void RepeatFaults(Simulation& sim) {
  const Micros interval = sim.options.fault_interval.count();
  At(sim, sim.now + Draw(sim, interval / 10, interval * 2), [&sim] {
    if (!sim.is_healed) {
      BeginFault(sim);
      RepeatFaults(sim);
    }
  });
}

void SetUp(Simulation& sim) {
  const std::uint32_t count = sim.options.daemons;
  sim.slots.resize(count);
  sim.cut_until.assign(count, std::vector<Micros>(count, 0));
  sim.store_cut_until.assign(count, 0);
  sim.is_hot = Chance(sim, 50);
  PublishCatalogue(sim, FirstCatalogue());
  for (std::uint32_t i = 0; i < count; ++i) {
    Slot& slot = sim.slots[i];
    slot.index = i;
    // Rate errors cover the whole bound of 1 %.
    slot.rate = 1.0 + static_cast<double>(Draw(sim, -10000, 10000)) / 1e6;
    slot.offset = Draw(sim, kSecond, 1000 * kSecond);
    StartDaemon(sim, slot);
    Repeat(sim, i, 80 * kMillisecond, 120 * kMillisecond, Tick);
    Repeat(sim, i, 200 * kMillisecond, 400 * kMillisecond, Detect);
    Repeat(sim, i, 400 * kMillisecond, 600 * kMillisecond, ReportDemand);
    Repeat(sim, i, 800 * kMillisecond, 1200 * kMillisecond, SendRows);
    Repeat(sim, i, 10 * kMillisecond, 80 * kMillisecond, SendRequest);
  }
  At(sim, 3 * kSecond, [&sim] { RepeatFaults(sim); });
  At(sim, sim.options.faulty.count(), [&sim] { Heal(sim); });
}

void CountResult(Simulation& sim) {
  HistoryResult& result = sim.result;
  std::map<base::GroupId, base::DaemonId> owners;
  std::set<base::GroupId> hot;
  for (const ownership::GroupRow& row : sim.history.table) {
    base::DaemonId& owner = owners[row.group];
    if (owner && owner != row.owner) {
      ++result.owner_changes;
    }
    owner = row.owner;
    if (row.group.hot_key &&
        row.operation_id.starts_with(base::ToString(row.owner)) &&
        hot.insert(row.group).second) {
      ++result.carve_outs;
    }
    if (!row.group.hot_key && row.hot_epoch_floor > 0) {
      result.merges = std::max<std::uint64_t>(result.merges, 1);
    }
  }
  for (const Slot& slot : sim.slots) {
    result.take_overs += slot.core.counters.take_overs_done;
  }
  std::set<std::uint32_t> served;
  constexpr Micros kFinalPeriod = 3 * kSecond;
  for (const Served& request : sim.history.served) {
    if (request.start > sim.now - kFinalPeriod) {
      served.insert(request.key);
    }
  }
  result.unserved_keys = kKeys - served.size();
}

}  // namespace

Micros Draw(Simulation& sim, Micros low, Micros high) {
  const auto width = static_cast<std::uint64_t>(high - low) + 1;
  return low + static_cast<Micros>(sim.random() % width);
}

bool Chance(Simulation& sim, int percent) {
  return Draw(sim, 0, 99) < percent;
}

void At(Simulation& sim, Micros at, std::function<void()> run) {
  sim.events.push({at, sim.next_order++, std::move(run)});
}

base::TimePoint LocalTime(const Simulation& sim, const Slot& slot) {
  const auto elapsed = static_cast<double>(sim.now - slot.clock_lost);
  return base::FromMicroseconds(slot.offset +
                                static_cast<Micros>(elapsed * slot.rate));
}

Micros RealTime(const Simulation& sim,
                const Slot& slot,
                base::TimePoint local) {
  const base::Duration ahead = local - LocalTime(sim, slot);
  return sim.now +
         static_cast<Micros>(static_cast<double>(ahead.count()) / slot.rate);
}

void InDaemon(Simulation& sim,
              std::uint32_t slot,
              std::uint32_t run,
              Micros at,
              std::function<void(Slot&)> step) {
  At(sim, at, [&sim, slot, run, step = std::move(step)]() mutable {
    Slot& found = sim.slots[slot];
    if (!found.alive || found.run != run) {
      return;
    }
    if (sim.now < found.paused_until) {
      InDaemon(sim, slot, run, found.paused_until + Draw(sim, 0, 1000),
               std::move(step));
      return;
    }
    step(found);
  });
}

HistoryResult RunHistory(const HistoryOptions& options) {
  Simulation sim;
  sim.options = options;
  sim.random.seed(options.seed);
  SetUp(sim);
  const Micros end = (options.faulty + options.healed).count();
  while (!sim.events.empty() && sim.events.top().at <= end) {
    std::function<void()> run = sim.events.top().run;
    sim.now = sim.events.top().at;
    sim.events.pop();
    run();
  }
  sim.now = end;
  CountResult(sim);
  sim.result.violation = CheckHistory(sim.history);
  return sim.result;
}

}  // namespace eelgrassbridge::histories
