// Reading of tables and long polls for their changes.
#include "eelgrassbridge/node/feeds.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "eelgrassbridge/node/rows.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;

/// Longest wait of a poll for the operator's changes. A poll that the store has
/// lost is given up sooner: when another call fails, or when another daemon
/// knows a later change.
constexpr std::chrono::milliseconds kOperatorPollTime{8000};
/// Time for the store to tell a change that another daemon has heard of before;
/// a little more than the way between regions and back.
constexpr base::Duration kHeardGrace = base::milliseconds{400};
/// The poll for the fleet's rows may wait longer, since an outage that ends a
/// poll for the operator's rows ends it, too.
constexpr std::chrono::milliseconds kFleetPollTime{20000};
/// Pause after a failed call; doubled up to the longest one.
constexpr std::chrono::milliseconds kFirstPause{100};
constexpr std::chrono::milliseconds kLongestPause{800};
/// Changes that follow each other closely, as when keys move, are fetched
/// together: each call of each daemon costs.
constexpr std::chrono::milliseconds kFeedPause{300};

struct Backoff {
  std::chrono::milliseconds next = kFirstPause;
};

awaitable<void> Pause(Node& node, Backoff& backoff) {
  std::uniform_real_distribution<double> spread(0.5, 1);
  const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
      backoff.next * spread(node.random));
  backoff.next = std::min(backoff.next * 2, kLongestPause);
  co_await http::Sleep(node.io, pause);
}

void NoteAnswer(Node& node,
                const base::Result<RowPage>& answer,
                base::TimePoint sent_at) {
  if (answer) {
    NoteStore(node, true, {}, &answer.value().state, sent_at);
  } else if (answer.error().kind != ErrorKind::kNotFound) {
    NoteStore(node, false, answer.error().detail, nullptr, sent_at);
  }
}

awaitable<base::Result<RowPage>> ReadPartition(Node& node,
                                               std::string table,
                                               std::string partition) {
  const base::TimePoint sent_at = base::BootClock::now();
  auto page =
      co_await node.port.store.read(std::move(table), std::move(partition));
  NoteAnswer(node, page, sent_at);
  co_return page;
}

struct PendingPoll {
  std::optional<base::Result<RowPage>> page;
};

awaitable<void> RunPoll(Node& node,
                        FeedPosition position,
                        std::shared_ptr<PendingPoll> pending) {
  pending->page.emplace(co_await node.port.store.follow(std::move(position)));
  http::Notify(node.store.changed);
}

const TableProgress& ProgressOf(const Node& node, std::string_view table) {
  return table == node.port.operator_table ? node.store.operator_rows
                                           : node.store.fleet_rows;
}

/// Waits until the poll has ended or is given up. False: it is given up.
awaitable<bool> AwaitPage(Node& node,
                          const FeedPosition& position,
                          const PendingPoll& pending) {
  const std::uint64_t losses = node.store.losses;
  const base::TimePoint begun = base::BootClock::now();
  while (!pending.page && node.store.losses == losses) {
    // Another daemon may know a change that the poll should have told.
    const TableProgress& table = ProgressOf(node, position.table);
    if (table.heard <= position.after) {
      co_await http::Wait(node.store.changed);
      continue;
    }
    const base::TimePoint latest =
        std::max(begun, table.heard_at) + kHeardGrace;
    if (base::BootClock::now() >= latest) {
      break;
    }
    co_await http::WaitUntil(node.store.changed, latest);
  }
  co_return pending.page.has_value();
}

/// A poll that is given up when the store is lost meanwhile: the store may have
/// lost the poll, too. The answer says when the store answered, but not when it
/// began to wait, so it tells nothing about the store's clock.
awaitable<base::Result<RowPage>> Poll(Node& node, FeedPosition position) {
  const base::TimePoint sent_at = base::BootClock::now();
  auto pending = std::make_shared<PendingPoll>();
  asio::co_spawn(node.io, RunPoll(node, position, pending), asio::detached);
  const bool ended = co_await AwaitPage(node, position, *pending);
  if (!ended) {
    co_return base::Fail(
        ErrorKind::kStoreUnavailable,
        "the poll was given up: the store was lost, or another "
        "daemon knows a later change");
  }
  if (*pending->page) {
    NoteStore(node, true, {}, nullptr, sent_at);
  } else {
    NoteAnswer(node, *pending->page, sent_at);
  }
  co_return std::move(*pending->page);
}

/// Reads the operator's rows; the version from which to follow them.
awaitable<base::Result<std::uint64_t>> ReadOperator(Node& node) {
  auto page = co_await ReadPartition(node, node.port.operator_table, "");
  if (!page) {
    co_return base::Fail(page.error().kind, page.error().detail);
  }
  std::set<std::string> out;
  for (const StoredRow& row : page.value().rows) {
    TakeOperatorRow(node, row);
    const OperatorRow meaning = node.port.operator_row(row.name);
    if (meaning.kind == OperatorRow::Kind::kOutOfService) {
      out.insert(meaning.data_centre);
    }
  }
  const auto known = node.data_centres_out;
  for (const std::string& data_centre : known) {
    if (!out.contains(data_centre)) {
      SetOutOfService(node, data_centre, false);
    }
  }
  co_return page.value().state.version;
}

std::vector<std::string> KnownServices(const Node& node) {
  std::vector<std::string> services = {node.settings.service};
  if (node.routes) {
    for (const auto& [name, service] : node.routes->services) {
      if (name != node.settings.service) {
        services.push_back(name);
      }
    }
  }
  return services;
}

awaitable<base::Result<std::uint64_t>> ReadService(Node& node,
                                                   const std::string& service) {
  auto page = co_await ReadPartition(node, std::string(kFleetTable), service);
  if (!page) {
    co_return base::Fail(page.error().kind, page.error().detail);
  }
  std::set<std::string> present;
  for (const StoredRow& row : page.value().rows) {
    TakeFleetRow(node, row);
    present.insert(row.name.key);
  }
  // Rows that were removed while the history was lost.
  std::vector<StoredRow> removed;
  for (const auto& [address, member] : node.fleet.members) {
    RowName name = MemberRow(service, address);
    if (member.service == service && !present.contains(name.key)) {
      removed.push_back(
          {std::move(name), {}, page.value().state.version, true});
    }
  }
  for (const StoredRow& row : removed) {
    TakeFleetRow(node, row);
  }
  RefreshStaleChoices(node);
  co_return page.value().state.version;
}

/// Reads the rows of all services; the version from which to follow them.
awaitable<base::Result<std::uint64_t>> ReadFleet(
    Node& node,
    std::set<std::string>& services_read) {
  std::uint64_t from = UINT64_MAX;
  for (const std::string& service : KnownServices(node)) {
    auto version = co_await ReadService(node, service);
    if (!version) {
      co_return base::Fail(version.error().kind, version.error().detail);
    }
    services_read.insert(service);
    from = std::min(from, version.value());
  }
  node.fleet.known = true;
  http::Notify(node.member_wanted);
  http::Notify(node.lease_wanted);
  co_return from;
}

/// Services that came with a later version of the routes may have rows from
/// before this process followed the table.
awaitable<void> ReadNewServices(Node& node,
                                std::set<std::string>& services_read) {
  for (const std::string& service : KnownServices(node)) {
    if (!services_read.contains(service)) {
      auto version = co_await ReadService(node, service);
      if (version) {
        services_read.insert(service);
      }
    }
  }
}

awaitable<void> AfterFleetPage(Node& node,
                               std::set<std::string>& services_read) {
  co_await ReadNewServices(node, services_read);
  co_await http::Sleep(node.io, kFeedPause);
}

awaitable<void> Nothing() {
  co_return;
}

/// Takes the changes of a table until its history is lost.
awaitable<void> FollowTable(Node& node,
                            FeedPosition position,
                            Backoff& backoff,
                            void (*take)(Node&, const StoredRow&),
                            std::function<awaitable<void>()> after_page) {
  while (true) {
    auto page = co_await Poll(node, position);
    if (!page && page.error().kind == ErrorKind::kNotFound) {
      co_return;
    }
    if (!page) {
      co_await Pause(node, backoff);
      continue;
    }
    backoff = Backoff{};
    for (const StoredRow& row : page.value().rows) {
      take(node, row);
    }
    RefreshStaleChoices(node);
    position.after = std::max(position.after, page.value().state.version);
    co_await after_page();
  }
}

}  // namespace

awaitable<void> FollowOperator(Node& node) {
  Backoff backoff;
  while (true) {
    auto start = co_await ReadOperator(node);
    if (!start) {
      co_await Pause(node, backoff);
      continue;
    }
    backoff = Backoff{};
    FeedPosition position{node.port.operator_table, start.value(),
                          kOperatorPollTime};
    co_await FollowTable(node, std::move(position), backoff, TakeOperatorRow,
                         [] { return Nothing(); });
  }
}

awaitable<void> FollowFleet(Node& node) {
  Backoff backoff;
  while (!node.routes) {
    // The routes name the services whose rows are to be read.
    co_await http::Wait(node.lease_wanted);
  }
  while (true) {
    std::set<std::string> services_read;
    auto start = co_await ReadFleet(node, services_read);
    if (!start) {
      co_await Pause(node, backoff);
      continue;
    }
    backoff = Backoff{};
    FeedPosition position{std::string(kFleetTable), start.value(),
                          kFleetPollTime};
    co_await FollowTable(node, std::move(position), backoff, TakeFleetRow,
                         [&node, &services_read] {
                           return AfterFleetPage(node, services_read);
                         });
  }
}

awaitable<base::Result<CommitResult>> Commit(Node& node,
                                             RowTransaction transaction) {
  const base::TimePoint sent_at = base::BootClock::now();
  auto result = co_await node.port.store.commit(std::move(transaction));
  if (result) {
    NoteStore(node, true, {}, &result.value().state, sent_at);
  } else {
    NoteStore(node, false, result.error().detail, nullptr, sent_at);
  }
  co_return result;
}

}  // namespace eelgrassbridge::node
