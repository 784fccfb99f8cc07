// Writes and loads the snapshot object.
#include "eelgrassbridge/daemon/snapshot_thread.hpp"

#include <pthread.h>

#include <utility>

#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::daemon {

namespace {

constexpr base::Duration kIdleWait = base::seconds{1};

std::string ObjectNameOf(const std::string& site) {
  return "table-snapshot/" + site;
}

SnapshotSaved Save(store::Store& store, const SaveSnapshotRequest& request) {
  const std::int64_t started_at_ms = base::UnixMilliseconds();
  auto taken = store::TakeTableSnapshot(store);
  if (!taken) {
    return {};
  }
  store::TableSnapshot& snapshot = taken.value();
  snapshot.site = request.site;
  snapshot.written_at_ms = started_at_ms;
  if (!store::SaveSnapshot(store, ObjectNameOf(request.site), snapshot)) {
    return {};
  }
  return {snapshot.revision};
}

SnapshotLoaded Load(store::Store& store, const LoadSnapshotRequest& request) {
  auto loaded = store::LoadSnapshot(store, ObjectNameOf(request.site));
  if (!loaded) {
    return {std::nullopt,
            loaded.error().kind == base::ErrorKind::kSnapshotInvalid};
  }
  if (!store::CheckSnapshot(loaded.value(), request.site,
                            base::UnixMilliseconds(), request.max_age)) {
    return {std::nullopt, true};
  }
  return {std::move(loaded).value(), false};
}

}  // namespace

SnapshotThread::SnapshotThread(base::WakeEvent& control_wake)
    : wake_control(control_wake) {}

SnapshotThread::~SnapshotThread() {
  StopSnapshotThread(*this);
}

SnapshotResult RunSnapshotRequest(store::Store& store,
                                  const SnapshotRequest& request) {
  if (const auto* const save = std::get_if<SaveSnapshotRequest>(&request)) {
    return Save(store, *save);
  }
  return Load(store, std::get<LoadSnapshotRequest>(request));
}

void StartSnapshotThread(SnapshotThread& thread) {
  thread.thread = std::thread([&thread] {
    pthread_setname_np(pthread_self(), "snapshot");
    while (!thread.stopping.load()) {
      if (const auto request = thread.requests.Pop()) {
        thread.results.Push(RunSnapshotRequest(thread.store, *request));
        base::Signal(thread.wake_control);
      } else {
        base::WaitFor(thread.wake, kIdleWait);
      }
    }
  });
}

void StopSnapshotThread(SnapshotThread& thread) {
  thread.stopping.store(true);
  base::Signal(thread.wake);
  if (thread.thread.joinable()) {
    thread.thread.join();
  }
}

}  // namespace eelgrassbridge::daemon
