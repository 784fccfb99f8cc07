// Choice of relays, announcement of changes, and the calls between a relay and
// the other daemons of its data centre.
#include "eelgrassbridge/node/operator_relay.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

#include "eelgrassbridge/http/endpoint.hpp"
#include "eelgrassbridge/node/request.hpp"
#include "eelgrassbridge/node/row_intake.hpp"
#include "eelgrassbridge/node/row_relay.hpp"
#include "eelgrassbridge/node/rows.hpp"
#include "eelgrassbridge/node/store_calls.hpp"
#include "eelgrassbridge/node/store_era.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;

/// Relays of a data centre. Each sends the rows to a half of the others.
constexpr std::size_t kRelayCount = 2;
/// Delay of an announcement by the relay of the next rank, so that mostly one
/// relay makes it.
constexpr std::chrono::milliseconds kAnnouncementDelay{100};
/// Maximum time for which a relay waits until it has a change itself. Both
/// relays together leave time to read the store within the bound on how late a
/// change may be in force.
constexpr base::Duration kRelayWait = base::milliseconds{400};
/// Added to the wait for the answer to arrive.
constexpr std::chrono::milliseconds kRelayAnswerTime{300};
constexpr std::string_view kRowsHeader = "Eelgrassbridge-Operator-Rows";

awaitable<base::Result<RowPage>> FetchFromRelay(Node& node,
                                                const std::string& address,
                                                std::uint64_t after,
                                                std::uint64_t needed,
                                                base::TimePoint latest) {
  const auto endpoint = http::ParseEndpoint(address);
  if (!endpoint) {
    co_return base::Fail(ErrorKind::kPeerUnreachable, "invalid address");
  }
  http::BufferedRequest request;
  request.method = "GET";
  request.target = "/operator-rows";
  request.headers = {{"Host", address},
                     {std::string(kRowsHeader),
                      fmt::format("{};{};{}", after, needed, node.store.era)}};
  const base::Duration left = latest - base::BootClock::now();
  request.timeout = std::chrono::ceil<std::chrono::milliseconds>(
      std::min<base::Duration>(left, kRelayWait + kRelayAnswerTime));
  auto answer = co_await http::Call(node.peers, *endpoint, std::move(request));
  if (!answer) {
    co_return base::Fail(answer.error().kind, answer.error().detail);
  }
  auto page = PageOfAnswer(answer.value());
  if (page && page.value().state.version < needed) {
    co_return base::Fail(ErrorKind::kFrameInvalid,
                         "the relay's rows are older than requested");
  }
  co_return page;
}

}  // namespace

std::vector<std::string> OperatorRelays(const Node& node) {
  return RankRelays(RelayCandidates(node), kRelayCount);
}

bool IsOperatorRelay(const Node& node) {
  const auto relays = OperatorRelays(node);
  return !node.routes || relays.empty() ||
         std::ranges::find(relays, node.settings.peers) != relays.end();
}

void KeepOperatorPage(Node& node, const RowPage& page) {
  KeepChanges(node.operator_copy.table, page);
  http::Notify(node.operator_copy.changed);
}

awaitable<void> AnnounceOperatorRows(Node& node) {
  const std::uint64_t era = node.store.era;
  const auto relays = OperatorRelays(node);
  const auto rank =
      std::ranges::find(relays, node.settings.peers) - relays.begin();
  co_await http::Sleep(node.io, kAnnouncementDelay * rank);
  OperatorCopy& copy = node.operator_copy;
  // The condition keeps a relay that is behind from replacing a later version.
  while (node.store.era == era &&
         copy.announced_version < copy.table.latest_change) {
    const RowName name = OperatorVersionRow();
    const std::string value =
        fmt::format("{};{}", copy.table.latest_change, era);
    RowTransaction transaction;
    transaction.conditions.push_back({name, copy.announcement_row_version});
    transaction.writes.push_back({name, value});
    const auto result = co_await Commit(node, StorePurpose::kAnnouncement,
                                        std::move(transaction));
    if (!result) {
      // Another relay announces the change, or the daemons find it themselves.
      co_return;
    }
    if (result.value().committed) {
      ApplyFleetRow(node, {name, value, result.value().state.version, false});
      co_return;
    }
    for (const StoredRow& row : result.value().current_rows) {
      if (row.version > 0) {
        ApplyFleetRow(node, row);
      }
    }
    if (result.value().current_rows.empty()) {
      copy.announcement_row_version = 0;
    }
  }
}

awaitable<base::Result<RowPage>> FetchFromRelays(Node& node,
                                                 std::uint64_t after,
                                                 std::uint64_t needed,
                                                 base::TimePoint latest) {
  std::vector<std::string> relays = OperatorRelays(node);
  std::erase(relays, node.settings.peers);
  // Each relay serves about the same number of daemons first.
  if (DaemonIdOf(node.settings.peers).value % 2 == 1) {
    std::ranges::reverse(relays);
  }
  for (const std::string& address : relays) {
    if (base::BootClock::now() >= latest) {
      break;
    }
    auto page = co_await FetchFromRelay(node, address, after, needed, latest);
    if (page || page.error().kind == ErrorKind::kNotFound) {
      co_return page;
    }
    if (page.error().kind != ErrorKind::kStoreUnavailable) {
      RecordRelayFailure(node, address, page.error().detail);
    }
  }
  co_return base::Fail(ErrorKind::kStoreUnavailable, "no relay has the change");
}

bool IsOperatorRowsRequest(const http::RequestHead& head) {
  return http::Find(head.headers, kRowsHeader) != nullptr;
}

awaitable<void> HandleOperatorRowsRequest(Node& node,
                                          http::Exchange& exchange) {
  std::string_view versions =
      http::HeaderValue(exchange.head.headers, kRowsHeader);
  const auto after = http::ParseNumber(TakePart(versions));
  const auto needed = http::ParseNumber(TakePart(versions));
  const auto era = http::ParseNumber(TakePart(versions));
  RecordPeerEra(node, era.value_or(0));
  const base::TimePoint latest = base::BootClock::now() + kRelayWait;
  OperatorCopy& copy = node.operator_copy;
  // A relay that learns of a later era here has to read the rows first.
  while (after && needed && era >= node.store.era &&
         (era > node.store.era || copy.table.version < *needed) &&
         base::BootClock::now() < latest) {
    co_await http::WaitUntil(copy.changed, latest);
  }
  if (!after || !needed || era != node.store.era ||
      copy.table.version < *needed) {
    co_await http::Respond(exchange, kRelayUnavailable, {}, {});
    co_return;
  }
  if (*after > 0 && *after < copy.table.complete_at) {
    co_await http::Respond(exchange, kRelayGone, {}, {});
    co_return;
  }
  const std::string body = EncodeRowPage(ChangesAfter(copy.table, *after));
  Count(node, "operator_rows_relayed_total");
  co_await http::Respond(exchange, kRelayOk, {}, body);
}

}  // namespace eelgrassbridge::node
