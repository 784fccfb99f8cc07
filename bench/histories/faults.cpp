// Injected faults, their end, and the failure detector.
#include <algorithm>

#include "simulation.hpp"

namespace eelgrassbridge::histories {

namespace {

/// Some faults last longer than the deputy's read bound and the waits of a
/// third party.
Micros FaultTime(Simulation& sim) {
  if (Chance(sim, 20)) {
    return Draw(sim, 8 * kSecond, 16 * kSecond);
  }
  return Draw(sim, 200 * kMillisecond, 8 * kSecond);
}

Slot& AnySlot(Simulation& sim) {
  return sim.slots[static_cast<std::size_t>(
      Draw(sim, 0, static_cast<Micros>(sim.slots.size()) - 1))];
}

void Suspend(Simulation& sim, Slot& slot, Micros length) {
  slot.paused_until = std::max(slot.paused_until, sim.now + length);
  if (sim.options.broken_model.clock_stops_on_suspend) {
    slot.clock_lost += length;
  }
  // Requests on the target of a suspended VM make no progress. Those whose
  // Not-After passes in that time are cancelled when the VM resumes.
  for (const auto& [index, last] : slot.running) {
    Served& served = sim.history.served[index];
    if (served.end > sim.now && last < sim.now + length) {
      served.end = sim.now;
    }
  }
  slot.running.clear();
}

void Isolate(Simulation& sim, const Slot& slot, Micros until, bool with_store) {
  for (const Slot& other : sim.slots) {
    sim.cut_until[slot.index][other.index] = until;
    sim.cut_until[other.index][slot.index] = until;
  }
  if (with_store) {
    sim.store_cut_until[slot.index] = until;
  }
}

/// Splits the network into two parts, with the store in one of them, as between
/// regions.
void Partition(Simulation& sim, Micros until) {
  const Micros mask = Draw(sim, 1, (Micros{1} << sim.slots.size()) - 2);
  const auto is_cut_off = [mask](const Slot& slot) {
    return ((mask >> slot.index) & 1) != 0;
  };
  for (const Slot& slot : sim.slots) {
    if (is_cut_off(slot)) {
      sim.store_cut_until[slot.index] = until;
    }
    for (const Slot& other : sim.slots) {
      if (is_cut_off(slot) != is_cut_off(other)) {
        sim.cut_until[slot.index][other.index] = until;
      }
    }
  }
}

void Kill(Simulation& sim, Slot& slot, Micros down) {
  slot.alive = false;
  const std::uint32_t index = slot.index;
  const std::uint32_t run = slot.run;
  At(sim, sim.now + down, [&sim, index, run] {
    if (sim.slots[index].run == run) {
      StartDaemon(sim, sim.slots[index]);
    }
  });
}

catalogue::OutOfService DataCentreOut(const Slot& slot, bool is_stopped) {
  return {catalogue::OutOfService::What::kDataCentre,
          "dc" + std::to_string(slot.index % 3), is_stopped};
}

/// Takes a data centre out of service and back; another operator's change may
/// come in between.
void TakeOut(Simulation& sim, const Slot& slot) {
  const catalogue::OutOfService out = DataCentreOut(slot, false);
  catalogue::Catalogue changed = *sim.catalogue;
  changed.out_of_service.push_back(out);
  PublishCatalogue(sim, std::move(changed));
  At(sim, sim.now + FaultTime(sim), [&sim, out] {
    catalogue::Catalogue back = *sim.catalogue;
    std::erase(back.out_of_service, out);
    PublishCatalogue(sim, std::move(back));
  });
}

/// Stops all daemons of a data centre for 10 s, and an operator confirms that
/// they are stopped.
void StopDataCentre(Simulation& sim, const Slot& any) {
  for (Slot& slot : sim.slots) {
    if (slot.index % 3 == any.index % 3) {
      Kill(sim, slot, 10 * kSecond);
    }
  }
  const catalogue::OutOfService out = DataCentreOut(any, true);
  At(sim, sim.now + kSecond, [&sim, out] {
    catalogue::Catalogue changed = *sim.catalogue;
    changed.out_of_service.push_back(out);
    PublishCatalogue(sim, std::move(changed));
  });
  At(sim, sim.now + 9 * kSecond, [&sim, out] {
    catalogue::Catalogue back = *sim.catalogue;
    std::erase(back.out_of_service, out);
    PublishCatalogue(sim, std::move(back));
  });
}

void ReportFalseLoss(Simulation& sim, Slot& by, const Slot& about) {
  if (by.alive && by.index != about.index) {
    by.lost_until.try_emplace(about.core.self, sim.now + FaultTime(sim));
    ownership::OnMemberLost(by.core, LocalTime(sim, by), about.core.self);
  }
}

void Drain(Simulation& sim, Slot& slot) {
  ownership::SetDraining(slot.core, LocalTime(sim, slot), true);
  InDaemon(sim, slot.index, slot.run, sim.now + FaultTime(sim),
           [&sim](Slot& drained) {
             ownership::SetDraining(drained.core, LocalTime(sim, drained),
                                    false);
           });
}

}  // namespace

void PublishCatalogue(Simulation& sim, catalogue::Catalogue changed) {
  changed.version = sim.catalogue == nullptr ? 1 : sim.catalogue->version + 1;
  sim.catalogue =
      std::make_shared<const catalogue::Catalogue>(std::move(changed));
  const auto sent = sim.catalogue;
  for (const Slot& slot : sim.slots) {
    InDaemon(sim, slot.index, slot.run, sim.now + Draw(sim, 0, 2 * kSecond),
             [&sim, sent](Slot& receiver) {
               ownership::OnCatalogue(receiver.core, LocalTime(sim, receiver),
                                      sent);
             });
  }
}

void BeginFault(Simulation& sim) {
  ++sim.result.faults;
  Slot& slot = AnySlot(sim);
  Slot& other = AnySlot(sim);
  const Micros length = FaultTime(sim);
  const Micros until = sim.now + length;
  switch (Draw(sim, 0, 16)) {
    case 0:
    case 1:
      slot.paused_until = std::max(slot.paused_until, until);
      break;
    case 2:
      Suspend(sim, slot, length);
      break;
    case 3:
      sim.cut_until[slot.index][other.index] = until;
      break;
    case 4:
      Isolate(sim, slot, until, true);
      break;
    case 5:
      Isolate(sim, slot, until, false);
      break;
    case 6:
      sim.store_cut_until[slot.index] = until;
      if (Chance(sim, 50)) {
        sim.store_cut_until[other.index] = until;
      }
      break;
    case 7:
      sim.store_down_until = until;
      break;
    case 8:
    case 9:
      sim.store_slow_until = until;
      break;
    case 10:
      sim.lossy_until = until;
      break;
    case 11:
      Kill(sim, slot, Draw(sim, 0, 3 * kSecond));
      break;
    case 12:
      Chance(sim, 70) ? TakeOut(sim, slot) : StopDataCentre(sim, slot);
      break;
    case 14:
    case 15:
      Partition(sim, until);
      break;
    case 13:
      ReportFalseLoss(sim, slot, other);
      break;
    default:
      Chance(sim, 50) ? Drain(sim, slot) : void(sim.is_hot = !sim.is_hot);
      break;
  }
}

void Heal(Simulation& sim) {
  sim.is_healed = true;
  for (Slot& slot : sim.slots) {
    slot.paused_until = std::min(slot.paused_until, sim.now);
    sim.store_cut_until[slot.index] = 0;
    std::ranges::fill(sim.cut_until[slot.index], 0);
  }
  sim.store_down_until = 0;
  sim.store_slow_until = 0;
  sim.lossy_until = 0;
}

void Detect(Simulation& sim, Slot& slot) {
  constexpr Micros kLossTimeout = 1200 * kMillisecond;
  const base::TimePoint local = LocalTime(sim, slot);
  for (const Slot& other : sim.slots) {
    const bool is_reachable =
        other.alive && sim.now >= other.paused_until &&
        (other.index == slot.index ||
         sim.now >= sim.cut_until[other.index][slot.index]);
    const base::DaemonId id = other.core.self;
    if (!is_reachable) {
      continue;
    }
    slot.last_reachable[id] = sim.now;
    const auto lost = slot.lost_until.find(id);
    if (lost != slot.lost_until.end() && sim.now < lost->second) {
      continue;
    }
    slot.lost_until.erase(id);
    ownership::OnMember(slot.core, local,
                        {id, "daemon" + std::to_string(other.index), "listing",
                         "dc" + std::to_string(other.index % 3), "sur", true});
  }
  for (const auto& [id, last_reachable] : slot.last_reachable) {
    if (sim.now - last_reachable > kLossTimeout &&
        !slot.lost_until.contains(id)) {
      slot.lost_until[id] = sim.now;
      ownership::OnMemberLost(slot.core, local, id);
    }
  }
}

}  // namespace eelgrassbridge::histories
