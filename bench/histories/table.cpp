// The model's table service: conditional writes that may be late or lose their
// reply, reads that may be lost, and outages.
#include <algorithm>

#include "simulation.hpp"

namespace eelgrassbridge::histories {

namespace {

using Status = store::TransactionResult::Status;
constexpr Micros kTimeout = kSecond;

bool IsReachable(const Simulation& sim, const Slot& slot) {
  return sim.now >= sim.store_down_until &&
         sim.now >= sim.store_cut_until[slot.index];
}

store::TransactionResult Apply(Simulation& sim,
                               const store::Transaction& transaction) {
  store::TransactionResult result;
  for (const store::ConditionalWrite& write : transaction.writes) {
    const auto found = sim.table.find(write.key);
    const std::uint64_t version =
        found == sim.table.end() ? 0 : found->second.version;
    if (version != write.expected_version) {
      result.conflicts.push_back(
          {write.key, version,
           found == sim.table.end() ? std::string{} : found->second.value});
    }
  }
  if (!result.conflicts.empty()) {
    result.status = Status::kConflict;
    return result;
  }
  result.status = Status::kApplied;
  for (const store::ConditionalWrite& write : transaction.writes) {
    const std::uint64_t version = ++sim.table_revision;
    result.versions.push_back(version);
    if (!write.value) {
      sim.table.erase(write.key);
      continue;
    }
    sim.table[write.key] = {version, *write.value};
    const auto row = ownership::DecodeRow({write.key, version, *write.value});
    if (row) {
      sim.history.table.push_back(row.value());
    }
  }
  return result;
}

/// Usually a few milliseconds; up to 5 s while the store is slow, so that
/// writes take effect after their sender's timeout.
Micros StoreDelay(Simulation& sim) {
  if (sim.now < sim.store_slow_until && Chance(sim, 40)) {
    return Draw(sim, 100 * kMillisecond, 5 * kSecond);
  }
  return Draw(sim, kMillisecond, 15 * kMillisecond);
}

void ReplyAt(Simulation& sim,
             const Slot& slot,
             Micros at,
             const std::string& operation_id,
             store::TransactionResult result) {
  InDaemon(sim, slot.index, slot.run, at,
           [&sim, operation_id, result = std::move(result)](Slot& receiver) {
             ownership::Actions actions;
             ownership::OnTransactionResult(receiver.core,
                                            LocalTime(sim, receiver),
                                            operation_id, result, actions);
             CarryOut(sim, receiver, actions);
           });
}

/// Carve-outs and merges also write two rows, but create or delete one of them.
bool IsCommonRelease(const store::Transaction& transaction) {
  return transaction.writes.size() > 1 &&
         std::ranges::all_of(transaction.writes, [](const auto& write) {
           return write.expected_version != 0 && write.value.has_value();
         });
}

}  // namespace

void SubmitToTable(Simulation& sim,
                   Slot& slot,
                   const store::Transaction& transaction) {
  const Micros timeout_at = sim.now + kTimeout;
  sim.result.common_releases += IsCommonRelease(transaction) ? 1 : 0;
  if (!IsReachable(sim, slot)) {
    const bool is_refused = Chance(sim, 50);
    store::TransactionResult result;
    result.status = is_refused ? Status::kNotSent : Status::kUnknown;
    ReplyAt(sim, slot, is_refused ? sim.now + kMillisecond : timeout_at,
            transaction.operation_id, result);
    return;
  }
  const Micros applied_at = sim.now + StoreDelay(sim);
  const Micros reply_delay = StoreDelay(sim);
  const bool is_lost = sim.now < sim.store_slow_until && Chance(sim, 30);
  const bool is_late = is_lost || applied_at + reply_delay > timeout_at;
  if (is_late) {
    store::TransactionResult unknown;
    unknown.status = Status::kUnknown;
    ++sim.result.unknown_writes;
    ReplyAt(sim, slot, timeout_at, transaction.operation_id, unknown);
  }
  const std::uint32_t index = slot.index;
  const std::uint32_t run = slot.run;
  At(sim, applied_at, [&sim, transaction, index, run, is_late, reply_delay] {
    store::TransactionResult result = Apply(sim, transaction);
    if (!is_late && sim.slots[index].run == run) {
      ReplyAt(sim, sim.slots[index], sim.now + reply_delay,
              transaction.operation_id, std::move(result));
    }
  });
}

void ReadFromTable(Simulation& sim,
                   Slot& slot,
                   std::vector<base::GroupId> groups,
                   bool whole_table) {
  const base::TimePoint sent_at = LocalTime(sim, slot);
  const std::uint32_t index = slot.index;
  const std::uint32_t run = slot.run;
  const Micros read_delay = StoreDelay(sim);
  const Micros reply_delay = StoreDelay(sim);
  if (!IsReachable(sim, slot) || read_delay + reply_delay > kTimeout) {
    InDaemon(sim, index, run, sim.now + kTimeout,
             [&sim, whole_table](Slot& reader) {
               ownership::OnReadFailed(reader.core, LocalTime(sim, reader));
               if (whole_table) {
                 ReadFromTable(sim, reader, {}, true);
               }
             });
    return;
  }
  At(sim, sim.now + read_delay, [=, &sim, groups = std::move(groups)] {
    std::vector<ownership::GroupRow> rows;
    for (const auto& [key, row] : sim.table) {
      auto decoded = ownership::DecodeRow({key, row.version, row.value});
      if (decoded &&
          (whole_table ||
           std::ranges::find(groups, decoded.value().group) != groups.end())) {
        rows.push_back(decoded.value());
      }
    }
    InDaemon(sim, index, run, sim.now + reply_delay,
             [=, &sim, rows = std::move(rows)](Slot& reader) {
               ownership::Actions actions;
               ownership::OnRowsRead(reader.core, LocalTime(sim, reader),
                                     {sent_at, groups, whole_table, rows},
                                     actions);
               CarryOut(sim, reader, actions);
             });
  });
}

}  // namespace eelgrassbridge::histories
