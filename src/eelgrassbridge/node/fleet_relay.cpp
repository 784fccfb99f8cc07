// Polls between a relay and its followers.
#include "eelgrassbridge/node/fleet_relay.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "eelgrassbridge/http/endpoint.hpp"
#include "eelgrassbridge/node/request.hpp"
#include "eelgrassbridge/node/row_relay.hpp"
#include "eelgrassbridge/node/store_era.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;

constexpr std::string_view kRowsHeader = "Eelgrassbridge-Fleet-Rows";
/// Maximum time for which a relay holds a request without a change; shorter
/// than the interval of unreported reads, for which a follower looks between
/// polls.
constexpr std::chrono::milliseconds kHoldTime{5000};
/// Added to the hold time for the answer to arrive.
constexpr std::chrono::milliseconds kAnswerTime{1000};
/// Time for a relay to deliver a change that another daemon has reported: its
/// pause between polls, a round trip between regions, and the way to the
/// follower.
constexpr base::Duration kDeliveryTime = base::milliseconds{1000};

/// Waits until the answer has arrived or is to be abandoned. Returns the reason
/// to abandon it, or an empty string.
awaitable<std::string_view> AwaitAnswer(Node& node,
                                        const std::string& relay,
                                        std::uint64_t after,
                                        const PendingAnswer& pending) {
  const std::uint64_t era = node.store.era;
  const base::TimePoint started_at = base::BootClock::now();
  // Further reports do not extend the time for the first one.
  std::optional<base::TimePoint> behind_since;
  while (!pending.answer) {
    if (node.store.era != era || IsEraOutdated(node)) {
      co_return "the store was restored";
    }
    if (IsAskedRelay(node.fleet_copy.asked_at)) {
      co_return "this daemon has become a relay";
    }
    if (HasFailedAsRelay(node, relay)) {
      co_return "the relay has failed";
    }
    const TableProgress& table = node.store.fleet_rows;
    if (!behind_since && table.peer_version > after) {
      behind_since = std::max(started_at, table.peer_version_at);
    }
    if (pending.progress->received_bytes > 0 || !behind_since) {
      co_await http::Wait(node.store.changed);
      continue;
    }
    if (base::BootClock::now() >= *behind_since + kDeliveryTime) {
      co_return "another daemon reported a later version";
    }
    co_await http::WaitUntil(node.store.changed, *behind_since + kDeliveryTime);
  }
  co_return std::string_view{};
}

const std::string& EncodedChanges(FleetCopy& copy, std::uint64_t after) {
  FleetCopy::Encoded& encoded = copy.encoded;
  if (encoded.text.empty() || encoded.after != after ||
      encoded.version != copy.table.version) {
    encoded = {after, copy.table.version,
               EncodeRowPage(ChangesAfter(copy.table, after))};
  }
  return encoded.text;
}

}  // namespace

std::string FleetRelayOf(const Node& node) {
  return IsAskedRelay(node.fleet_copy.asked_at)
             ? std::string{}
             : RelayOf(RelayCandidates(node), node.settings.peers,
                       DaemonIdOf(node.settings.peers).value);
}

bool IsUnreportedReadDue(const Node& node) {
  return base::BootClock::now() >=
         node.fleet_copy.store_read_at +
             UnreportedReadInterval(DaemonsOfDataCentre(node));
}

void KeepFleetPage(Node& node, const RowPage& page) {
  KeepChanges(node.fleet_copy.table, page);
  if (!page.rows.empty()) {
    node.fleet_copy.received_at = base::BootClock::now();
    http::Notify(node.fleet_copy.changed);
  }
}

awaitable<base::Result<RowPage>> PollRelay(Node& node,
                                           std::string relay,
                                           std::uint64_t after) {
  const auto endpoint = http::ParseEndpoint(relay);
  if (!endpoint) {
    RecordRelayFailure(node, relay, "invalid address");
    co_return base::Fail(ErrorKind::kPeerUnreachable, "invalid address");
  }
  http::BufferedRequest request;
  request.method = "GET";
  request.target = "/fleet-rows";
  request.headers = {
      {"Host", relay},
      {std::string(kRowsHeader), fmt::format("{};{}", after, node.store.era)}};
  request.timeout = kHoldTime + kAnswerTime;
  const auto pending = SendToRelay(node, *endpoint, std::move(request));
  const std::string_view cause =
      co_await AwaitAnswer(node, relay, after, *pending);
  if (!cause.empty()) {
    http::Cancel(*pending->progress);
    if (node.store.fleet_rows.peer_version > after) {
      RecordRelayFailure(node, relay, cause);
    }
    Count(node, "relay_polls_abandoned_total");
    Log(node.log, EventKind::kPollAbandoned,
        {{"table", "fleet"},
         {"relay", relay},
         {"after", static_cast<std::int64_t>(after)},
         {"cause", cause}});
    co_return base::Fail(ErrorKind::kStoreUnavailable, std::string(cause));
  }
  if (!*pending->answer) {
    RecordRelayFailure(node, relay, pending->answer->error().detail);
    co_return base::Fail(pending->answer->error().kind,
                         pending->answer->error().detail);
  }
  auto page = PageOfAnswer(pending->answer->value());
  if (!page && page.error().kind != ErrorKind::kNotFound) {
    RecordRelayFailure(node, relay, page.error().detail);
  }
  co_return page;
}

bool IsFleetRowsRequest(const http::RequestHead& head) {
  return http::Find(head.headers, kRowsHeader) != nullptr;
}

awaitable<void> HandleFleetRowsRequest(Node& node, http::Exchange& exchange) {
  std::string_view position =
      http::HeaderValue(exchange.head.headers, kRowsHeader);
  const auto after = http::ParseNumber(TakePart(position));
  const auto era = http::ParseNumber(TakePart(position));
  RecordPeerEra(node, era.value_or(0));
  FleetCopy& copy = node.fleet_copy;
  const base::TimePoint latest = base::BootClock::now() + kHoldTime;
  copy.asked_at = base::BootClock::now();
  http::Notify(node.store.changed);
  while (after && era == node.store.era && !node.stopping &&
         !copy.read_failing && !exchange.connection->caller_disconnected &&
         HasChangesSince(copy.table, *after) &&
         copy.table.latest_change <= *after &&
         base::BootClock::now() < latest) {
    co_await http::WaitUntil(copy.changed, latest);
  }
  if (!after || era != node.store.era || node.stopping || copy.read_failing ||
      copy.table.version == 0) {
    co_await http::Respond(exchange, kRelayUnavailable, {}, {});
    co_return;
  }
  if (!HasChangesSince(copy.table, *after)) {
    co_await http::Respond(exchange, kRelayGone, {}, {});
    co_return;
  }
  const std::string body = EncodedChanges(copy, *after);
  Count(node, "fleet_rows_relayed_total");
  co_await http::Respond(exchange, kRelayOk, {}, body);
}

}  // namespace eelgrassbridge::node
