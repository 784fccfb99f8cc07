// Candidates for relays, and the encoding of pages.
#include "eelgrassbridge/node/row_relay.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace eelgrassbridge::node {

namespace {

using base::ErrorKind;
using nlohmann::json;

/// Time after a failure or a probe without success until a daemon is probed.
constexpr base::Duration kProbeInterval = base::seconds{5};
/// Time for which a daemon that was asked stays a relay; longer than a request
/// is held, so that it stays one while it has followers.
constexpr base::Duration kAskedTime = base::seconds{8};

asio::awaitable<void> RunCall(Node& node,
                              asio::ip::tcp::endpoint relay,
                              http::BufferedRequest request,
                              std::shared_ptr<PendingAnswer> pending) {
  pending->answer.emplace(
      co_await http::Call(node.peers, relay, std::move(request)));
  http::Notify(node.store.changed);
}

}  // namespace

bool HasFailedAsRelay(const Node& node, const std::string& address) {
  return node.fleet.failed_relays.contains(address);
}

std::vector<RelayCandidate> RelayCandidates(const Node& node) {
  std::vector<RelayCandidate> candidates;
  for (const auto& [address, member] : node.fleet.members) {
    if (member.data_centre == node.settings.data_centre && member.serving &&
        !HasFailedAsRelay(node, address)) {
      candidates.push_back({member.address, member.link_mbps});
    }
  }
  return candidates;
}

std::size_t DaemonsOfDataCentre(const Node& node) {
  return static_cast<std::size_t>(
      std::ranges::count_if(node.fleet.members, [&node](const auto& entry) {
        return entry.second.data_centre == node.settings.data_centre;
      }));
}

void RecordRelayFailure(Node& node,
                        const std::string& address,
                        std::string_view cause) {
  if (!HasFailedAsRelay(node, address)) {
    Log(node.log, EventKind::kRelayFailed,
        {{"relay", address}, {"cause", cause}});
  }
  node.fleet.failed_relays[address] = base::BootClock::now();
  http::Notify(node.store.changed);
}

std::vector<std::string> RelaysToProbe(const Node& node, base::TimePoint now) {
  std::vector<std::string> relays;
  for (const auto& [address, failed_at] : node.fleet.failed_relays) {
    if (now >= failed_at + kProbeInterval) {
      relays.push_back(address);
    }
  }
  return relays;
}

void RecordProbe(Node& node,
                 const std::string& address,
                 bool succeeded,
                 base::TimePoint sent_at) {
  auto& failed = node.fleet.failed_relays;
  const auto found = failed.find(address);
  // A failure that came after the probe was sent is not undone by it.
  if (found == failed.end() || found->second > sent_at) {
    return;
  }
  if (!node.fleet.members.contains(address)) {
    failed.erase(found);
  } else if (succeeded) {
    failed.erase(found);
    Log(node.log, EventKind::kRelayRegained, {{"relay", address}});
    http::Notify(node.store.changed);
  } else {
    found->second = base::BootClock::now();
  }
}

bool IsAskedRelay(base::TimePoint asked_at) {
  return asked_at != base::TimePoint{} &&
         base::BootClock::now() < asked_at + kAskedTime;
}

std::shared_ptr<PendingAnswer> SendToRelay(Node& node,
                                           asio::ip::tcp::endpoint relay,
                                           http::BufferedRequest request) {
  auto pending = std::make_shared<PendingAnswer>();
  request.progress = pending->progress;
  asio::co_spawn(node.io,
                 RunCall(node, std::move(relay), std::move(request), pending),
                 asio::detached);
  return pending;
}

base::Result<RowPage> PageOfAnswer(const http::Response& answer) {
  if (answer.head.status == kRelayGone) {
    return base::Fail(ErrorKind::kNotFound,
                      "the relay does not have all changes");
  }
  if (answer.head.status != kRelayOk) {
    return base::Fail(ErrorKind::kStoreUnavailable,
                      "the relay cannot answer now");
  }
  return DecodeRowPage(answer.body);
}

std::string EncodeRowPage(const RowPage& page) {
  json rows = json::array();
  for (const StoredRow& row : page.rows) {
    rows.push_back(
        {{"table", row.name.table},
         {"partition", row.name.partition},
         {"key", row.name.key},
         {"version", row.version},
         {"removed", row.removed},
         {"value", json::binary({row.value.begin(), row.value.end()})}});
  }
  const json value = {{"version", page.state.version},
                      {"rows", std::move(rows)}};
  std::string text;
  json::to_cbor(value, text);
  return text;
}

base::Result<RowPage> DecodeRowPage(std::string_view text) {
  try {
    const json value = json::from_cbor(text);
    RowPage page;
    page.state.version = value.at("version").get<std::uint64_t>();
    for (const json& item : value.at("rows")) {
      StoredRow row;
      row.name = {item.at("table").get<std::string>(),
                  item.at("partition").get<std::string>(),
                  item.at("key").get<std::string>()};
      row.version = item.at("version").get<std::uint64_t>();
      row.removed = item.at("removed").get<bool>();
      const auto& bytes = item.at("value").get_binary();
      row.value.assign(bytes.begin(), bytes.end());
      page.rows.push_back(std::move(row));
    }
    return page;
  } catch (const json::exception& error) {
    return base::Fail(ErrorKind::kFrameInvalid, error.what());
  }
}

}  // namespace eelgrassbridge::node
