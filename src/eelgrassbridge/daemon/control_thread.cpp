// The event loop of the control thread, and the start and stop of its helper
// threads.
#include "eelgrassbridge/daemon/control_thread.hpp"

#include <pthread.h>

#include <algorithm>

#include "eelgrassbridge/base/log.hpp"
#include "eelgrassbridge/daemon/catalogue_store.hpp"
#include "eelgrassbridge/daemon/control_events.hpp"
#include "eelgrassbridge/daemon/control_snapshot.hpp"
#include "eelgrassbridge/daemon/control_status.hpp"
#include "eelgrassbridge/daemon/peer_thread.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// Maximum events handled from one ring per round, so that a full ring does not
/// delay the tick.
constexpr int kEventsPerRound = 512;
constexpr base::Duration kGaugeInterval = base::seconds{1};
constexpr base::Duration kDrainPoll = base::milliseconds{20};
/// Timeout for the reply to a command; a change of the catalogue takes up to
/// four calls to the table.
constexpr base::Duration kReplyTimeout = base::seconds{5};

template <typename Pop, typename Handle>
bool DrainRing(const Pop& pop, const Handle& handle) {
  for (int count = 0; count < kEventsPerRound; ++count) {
    auto event = pop();
    if (!event) {
      return false;
    }
    handle(std::move(*event));
  }
  return true;
}

/// Handles the events in the rings. Returns whether there may be more.
bool HandleEvents(Control& control) {
  ControlState& state = control.state;
  const auto now = [] { return base::BootClock::now(); };
  bool more = DrainRing([&] { return control.commands.Pop(); },
                        [&](ControlCommand command) {
                          OnCommand(state, now(), std::move(command));
                        });
  more |=
      DrainRing([&] { return control.target.events.Pop(); },
                [&](TargetEvent event) { OnTargetEvent(state, now(), event); });
  more |= DrainRing([&] { return control.store.read_results.Pop(); },
                    [&](const StoreReadResult& result) {
                      --state.pending_reads;
                      OnReadResult(state, now(), result);
                    });
  more |= DrainRing([&] { return control.store.write_results.Pop(); },
                    [&](StoreWriteResult result) {
                      OnWriteResult(state, now(), std::move(result));
                    });
  more |= DrainRing([&] { return control.snapshot.results.Pop(); },
                    [&](SnapshotResult result) {
                      OnSnapshotResult(state, now(), std::move(result));
                    });
  more |= DrainRing([&] { return wire::ReceiveFromPeers(*control.peers); },
                    [&](wire::IncomingMessage incoming) {
                      OnPeerMessage(state, now(), std::move(incoming));
                    });
  return more;
}

/// Moves queued items into a ring and returns whether any was moved. Items that
/// do not fit stay in the queue for a later round.
template <typename T>
bool FlushTo(std::deque<T>& queue, base::Ring<T>& ring) {
  bool flushed = false;
  while (!queue.empty() && ring.Push(queue.front())) {
    queue.pop_front();
    flushed = true;
  }
  return flushed;
}

void FlushOutput(Control& control) {
  ControlState& state = control.state;
  for (wire::OutgoingMessage& outgoing : state.to_peers) {
    // If the ring is full, the message is dropped and counted.
    wire::SendToPeer(*control.peers, std::move(outgoing));
  }
  state.to_peers.clear();
  while (!state.to_reader.empty() &&
         state.pending_reads < ControlState::kMaxPendingReads &&
         control.store.reads.Push(state.to_reader.front())) {
    state.to_reader.pop_front();
    ++state.pending_reads;
    base::Signal(control.store.reader_wake);
  }
  if (FlushTo(state.to_writer, control.store.writes)) {
    base::Signal(control.store.writer_wake);
  }
  if (FlushTo(state.to_snapshot, control.snapshot.requests)) {
    base::Signal(control.snapshot.wake);
  }
  if (FlushTo(state.to_target, control.target.grants)) {
    base::Signal(control.target.wake);
  }
}

void RunControl(Control& control) {
  pthread_setname_np(pthread_self(), "control");
  base::TimePoint next_tick{};
  base::TimePoint next_gauges{};
  bool more = false;
  while (!control.stopping.load()) {
    if (!more) {
      base::WaitFor(control.wake, next_tick - base::BootClock::now());
    }
    more = HandleEvents(control);
    const base::TimePoint now = base::BootClock::now();
    if (now >= next_tick) {
      next_tick = now + Control::kTickInterval;
      OnControlTick(control.state, now);
    }
    if (now >= next_gauges) {
      next_gauges = now + kGaugeInterval;
      UpdateGauges(control.state);
    }
    FinishRound(control.state, now);
    FlushOutput(control);
  }
}

bool PostCommand(Control& control, ControlCommand command) {
  const bool posted = control.commands.Push(std::move(command));
  base::Signal(control.wake);
  return posted;
}

/// Posts a command and waits for its reply. Returns nullopt if the ring is full
/// or the reply does not arrive in time.
template <typename Command, typename Answer>
std::optional<Answer> PostAndWait(Control& control, Command command) {
  command.answer = std::make_shared<std::promise<Answer>>();
  auto answer = command.answer->get_future();
  if (!PostCommand(control, std::move(command)) ||
      answer.wait_for(kReplyTimeout) != std::future_status::ready) {
    return std::nullopt;
  }
  return answer.get();
}

store::Store OpenStore(const settings::Settings& settings,
                       const std::shared_ptr<store::MemoryTable>& memory) {
  if (settings.store.in_memory) {
    return store::MakeMemoryStore(memory);
  }
  return store::MakeHttpStore({settings.store.address.ip,
                               settings.store.address.port,
                               settings.store.timeout});
}

}  // namespace

Control::Control(const settings::Settings& settings,
                 const catalogue::Catalogue& initial_catalogue,
                 RequestContext& context,
                 store::Store read_store,
                 store::Store write_store)
    : state(settings,
            initial_catalogue,
            context,
            base::NewDaemonId(),
            base::BootClock::now()),
      store(std::move(read_store), std::move(write_store), this->wake),
      snapshot(this->wake),
      target(context.target, this->wake) {}

Control::~Control() {
  StopControl(*this);
}

base::Result<std::unique_ptr<Control>> StartControl(
    const settings::Settings& settings,
    const catalogue::Catalogue& initial_catalogue,
    RequestContext& context) {
  auto memory = std::make_shared<store::MemoryTable>();
  if (settings.store.in_memory) {
    base::LogEvent("store_in_memory",
                   {{"effect", "all data is lost when the process ends"}},
                   base::LogLevel::kWarning);
  }
  auto control = std::make_unique<Control>(settings, initial_catalogue, context,
                                           OpenStore(settings, memory),
                                           OpenStore(settings, memory));
  control->history_store = OpenStore(settings, memory);
  BOOST_OUTCOME_TRY(peers, StartPeers(settings, control->state.self,
                                      context.counters, control->wake));
  control->peers = std::move(peers);
  context.routing.view.store(
      std::make_shared<const RoutingView>(control->state.view.next));
  StartStoreThreads(control->store);
  control->snapshot.store = OpenStore(settings, memory);
  StartSnapshotThread(control->snapshot);
  StartTargetWatch(control->target);
  Control& started = *control;
  control->thread = std::thread([&started] { RunControl(started); });
  return control;
}

void BeginControlDrain(Control& control) {
  PostCommand(control, StartDrain{});
}

bool WaitForControlDrain(Control& control) {
  const base::TimePoint end =
      base::BootClock::now() + control.state.settings.drain_timeout;
  while (base::BootClock::now() < end) {
    const auto drained = PostAndWait<QueryDrained, bool>(control, {});
    if (drained.value_or(false)) {
      return true;
    }
    std::this_thread::sleep_for(kDrainPoll);
  }
  return false;
}

void StopControl(Control& control) {
  if (control.thread.joinable()) {
    PostAndWait<LeaveFleet, bool>(control, {});
    control.stopping.store(true);
    base::Signal(control.wake);
    control.thread.join();
    FlushOutput(control);
  }
  if (control.peers != nullptr) {
    wire::StopPeerBus(*control.peers);
  }
  StopTargetWatch(control.target);
  StopStoreThreads(control.store);
  StopSnapshotThread(control.snapshot);
}

AdminHooks MakeAdminHooks(Control& control) {
  AdminHooks hooks;
  hooks.read_catalogue =
      [&control]() -> std::shared_ptr<const catalogue::Catalogue> {
    const auto view = control.state.context.routing.view.load();
    return view == nullptr ? nullptr : view->catalogue;
  };
  hooks.submit_change = [&control](const CatalogueChange& change) {
    auto result = PostAndWait<ApplyCatalogueChange, ChangeResult>(
        control, {change, nullptr});
    return result.value_or(ChangeResult{ChangeResult::Status::kUnknown,
                                        {},
                                        "no reply in time; check the history"});
  };
  hooks.read_status = [&control] {
    return PostAndWait<QueryStatus, FleetStatus>(control, {})
        .value_or(FleetStatus{});
  };
  hooks.read_history = [&control](std::uint32_t limit) {
    const std::scoped_lock lock(control.history_mutex);
    return ReadHistory(control.history_store, limit);
  };
  return hooks;
}

}  // namespace eelgrassbridge::daemon
