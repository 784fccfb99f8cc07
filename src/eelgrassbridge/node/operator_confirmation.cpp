// The requests for confirmations, and the loop that sends them.
#include "eelgrassbridge/node/operator_confirmation.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

#include "eelgrassbridge/http/endpoint.hpp"
#include "eelgrassbridge/node/request.hpp"
#include "eelgrassbridge/node/row_relay.hpp"
#include "eelgrassbridge/node/store_era.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;

/// In a request: era, version and age in microseconds of what the asker knows,
/// and 1 for a probe. In an answer: version and age of the statement, and the
/// time in microseconds for which the request was held.
constexpr std::string_view kConfirmationHeader =
    "Eelgrassbridge-Operator-Version";
/// Confirm intervals for which a relay holds a request without news; longer
/// than its asker waits.
constexpr int kHeldIntervals = 2;
/// Interval at which failed relays are looked for, before jitter, and maximum
/// time for the answer of one.
constexpr base::Duration kProbePause = base::seconds{1};
constexpr std::chrono::milliseconds kProbeTimeout{500};

/// Relays that this daemon may ask, in the order in which it asks them. A large
/// data centre has several first relays, each of which serves a part of it.
std::vector<std::string> RelaysToAsk(const Node& node) {
  const std::string& self = node.settings.peers;
  const auto candidates = RelayCandidates(node);
  auto relays = RankRelays(candidates, FreshnessLimits(node).relays_asked + 1);
  const std::string first = RelayOf(candidates, self, DaemonIdOf(self).value);
  std::erase(relays, self);
  std::erase(relays, first);
  if (!first.empty()) {
    relays.insert(relays.begin(), first);
  }
  return relays;
}

/// Takes the next number from a list that is separated by semicolons. Times as
/// long as the limit, 285 years, can be added and subtracted.
std::optional<std::int64_t> TakeNumber(std::string_view& text) {
  constexpr std::uint64_t kLimit = std::uint64_t{1} << 53U;
  const auto number = http::ParseNumber(TakePart(text));
  return number && *number < kLimit
             ? std::optional{static_cast<std::int64_t>(*number)}
             : std::nullopt;
}

base::Result<Confirmation> ConfirmationOfAnswer(const http::Response& answer,
                                                base::TimePoint sent_at) {
  if (answer.head.status != kRelayOk) {
    return base::Fail(ErrorKind::kStoreUnavailable,
                      "the relay cannot answer now");
  }
  std::string_view text =
      http::HeaderValue(answer.head.headers, kConfirmationHeader);
  const auto version = TakeNumber(text);
  const auto age = TakeNumber(text);
  const auto held = TakeNumber(text);
  if (!version || !age || !held) {
    return base::Fail(ErrorKind::kFrameInvalid, "malformed confirmation");
  }
  // The request arrived after `sent_at` and was held before the answer, so the
  // moment is never too late, however long both were on their way. A daemon
  // that states a wrong time must not seem to know the future.
  return Confirmation{
      static_cast<std::uint64_t>(*version),
      std::min(sent_at + base::Duration{*held} - base::Duration{*age},
               base::BootClock::now())};
}

enum class RequestKind : std::uint8_t {
  /// Held until there is news.
  kConfirmation,
  /// Answered at once.
  kProbe,
};

http::BufferedRequest RequestToRelay(const Node& node,
                                     const std::string& relay,
                                     base::TimePoint sent_at,
                                     RequestKind kind) {
  const Confirmation& known = node.operator_copy.freshness.latest;
  http::BufferedRequest request;
  request.method = "GET";
  request.target = "/operator-version";
  request.headers = {{"Host", relay},
                     {std::string(kConfirmationHeader),
                      fmt::format("{};{};{};{}", node.store.era, known.version,
                                  (sent_at - known.as_of).count(),
                                  kind == RequestKind::kProbe ? 1 : 0)}};
  return request;
}

awaitable<base::Result<Confirmation>> AskRelay(Node& node,
                                               const std::string& relay) {
  const auto endpoint = http::ParseEndpoint(relay);
  if (!endpoint) {
    co_return base::Fail(ErrorKind::kPeerUnreachable, "invalid address");
  }
  const base::TimePoint sent_at = base::BootClock::now();
  http::BufferedRequest request =
      RequestToRelay(node, relay, sent_at, RequestKind::kConfirmation);
  // The deadline also covers the time to open a connection, which the timeout
  // of the call does not.
  const base::TimePoint deadline = RelayDeadline(
      node.operator_copy.freshness, sent_at, FreshnessLimits(node));
  request.timeout =
      std::chrono::ceil<std::chrono::milliseconds>(deadline - sent_at);
  const auto pending = SendToRelay(node, *endpoint, std::move(request));
  while (!pending->answer && base::BootClock::now() < deadline) {
    co_await http::WaitUntil(node.store.changed, deadline);
  }
  if (!pending->answer) {
    http::Cancel(*pending->progress);
    co_return base::Fail(ErrorKind::kPeerTimeout, "the relay is silent");
  }
  const auto& answer = *pending->answer;
  if (!answer) {
    co_return base::Fail(answer.error().kind, answer.error().detail);
  }
  co_return ConfirmationOfAnswer(answer.value(), sent_at);
}

/// Asks a relay once and records what it says.
awaitable<void> GetConfirmation(Node& node, std::string relay) {
  const std::uint64_t era = node.store.era;
  Freshness& freshness = node.operator_copy.freshness;
  const Confirmation known = freshness.latest;
  const auto statement = co_await AskRelay(node, relay);
  if (node.store.era != era) {
    co_return;
  }
  if (statement && (statement.value().version > known.version ||
                    statement.value().as_of > known.as_of)) {
    RecordConfirmation(node, statement.value());
    RecordPeerVersion(node, node.store.operator_rows,
                      statement.value().version);
    co_return;
  }
  RecordRelayFailure(node, relay,
                     statement ? std::string_view("it knows nothing later")
                               : std::string_view(statement.error().detail));
  RecordRelayWithoutNews(freshness);
  Count(node, "operator_confirmations_failed_total");
}

/// Whether a relay that has failed can answer again, with a statement that is
/// recent enough to be of use.
awaitable<bool> ProbeRelay(Node& node,
                           const std::string& relay,
                           base::TimePoint sent_at) {
  const auto endpoint = http::ParseEndpoint(relay);
  if (!endpoint) {
    co_return false;
  }
  http::BufferedRequest request =
      RequestToRelay(node, relay, sent_at, RequestKind::kProbe);
  request.timeout = kProbeTimeout;
  const auto answer =
      co_await http::Call(node.peers, *endpoint, std::move(request));
  if (!answer) {
    co_return false;
  }
  const auto statement = ConfirmationOfAnswer(answer.value(), sent_at);
  if (!statement) {
    co_return false;
  }
  const base::TimePoint too_old_at =
      statement.value().as_of + FreshnessLimits(node).store_limit;
  co_return base::BootClock::now() < too_old_at;
}

/// Whether this daemon is to ask relays: it does not read the store itself, or
/// cannot.
bool IsToAskRelays(const Node& node) {
  const Freshness& freshness = node.operator_copy.freshness;
  return node.fleet.loaded && node.routes && !IsEraOutdated(node) &&
         (!PollsOperatorRows(node) || freshness.read_failing) &&
         !AreRelaysExhausted(freshness, FreshnessLimits(node));
}

}  // namespace

FreshnessOptions FreshnessLimits(const Node& node) {
  return FreshnessOptionsFor(node.settings.bounds.change_in_force);
}

bool PollsOperatorRows(const Node& node) {
  if (!node.routes) {
    return true;
  }
  // Before the members are known, each daemon would hold a poll at the store.
  const std::string& self = node.settings.peers;
  const auto candidates = RelayCandidates(node);
  return node.fleet.loaded &&
         (IsAskedRelay(node.operator_copy.asked_at) ||
          (!candidates.empty() &&
           RelayOf(candidates, self, DaemonIdOf(self).value).empty()));
}

void RecordConfirmation(Node& node, const Confirmation& statement) {
  OperatorCopy& copy = node.operator_copy;
  Confirm(copy.freshness, statement);
  RecordApplied(copy.freshness, copy.table.version);
  http::Notify(node.operator_copy.changed);
}

void RecordOperatorRead(Node& node, bool succeeded) {
  Freshness& freshness = node.operator_copy.freshness;
  const bool was_failing = freshness.read_failing;
  RecordRead(freshness, succeeded, base::BootClock::now());
  if (freshness.read_failing != was_failing) {
    http::Notify(node.operator_copy.changed);
    http::Notify(node.store.changed);
  }
}

awaitable<void> FollowConfirmations(Node& node) {
  while (true) {
    auto relays =
        IsToAskRelays(node) ? RelaysToAsk(node) : std::vector<std::string>{};
    if (relays.empty()) {
      // Members and the time since this daemon was asked change without a
      // notification.
      co_await http::WaitUntil(
          node.store.changed,
          base::BootClock::now() + FreshnessLimits(node).confirm_interval);
      continue;
    }
    co_await GetConfirmation(node, std::move(relays.front()));
  }
}

awaitable<void> ProbeFailedRelays(Node& node) {
  std::uniform_real_distribution<double> jitter(0.5, 1);
  while (true) {
    co_await http::Sleep(node.io, std::chrono::duration_cast<base::Duration>(
                                      kProbePause * jitter(node.random)));
    for (const std::string& relay :
         RelaysToProbe(node, base::BootClock::now())) {
      const base::TimePoint sent_at = base::BootClock::now();
      const bool succeeded = co_await ProbeRelay(node, relay, sent_at);
      RecordProbe(node, relay, succeeded, sent_at);
    }
  }
}

bool IsConfirmationRequest(const http::RequestHead& head) {
  return http::Find(head.headers, kConfirmationHeader) != nullptr;
}

awaitable<void> HandleConfirmationRequest(Node& node,
                                          http::Exchange& exchange) {
  std::string_view text =
      http::HeaderValue(exchange.head.headers, kConfirmationHeader);
  const auto era = TakeNumber(text);
  const auto version = TakeNumber(text);
  const auto age = TakeNumber(text);
  const bool is_probe = TakeNumber(text).value_or(0) != 0;
  const auto asked_era = static_cast<std::uint64_t>(era.value_or(0));
  RecordPeerEra(node, asked_era);
  const base::TimePoint asked_at = base::BootClock::now();
  OperatorCopy& copy = node.operator_copy;
  if (!is_probe) {
    copy.asked_at = asked_at;
    http::Notify(node.store.changed);
  }
  const Confirmation known{static_cast<std::uint64_t>(version.value_or(0)),
                           asked_at - base::Duration{age.value_or(0)}};
  const FreshnessOptions options = FreshnessLimits(node);
  const base::TimePoint latest =
      is_probe ? asked_at
               : asked_at + kHeldIntervals * options.confirm_interval;
  const bool valid = era && version && age;
  // A relay that learns of a later era here has to read the rows first.
  while (valid && asked_era >= node.store.era && !node.stopping &&
         !exchange.connection->caller_disconnected &&
         !copy.freshness.read_failing &&
         (asked_era > node.store.era ||
          !IsNews(copy.freshness.latest, known, options)) &&
         base::BootClock::now() < latest) {
    co_await http::WaitUntil(copy.changed, latest);
  }
  const Confirmation& statement = copy.freshness.latest;
  if (!valid || asked_era != node.store.era || node.stopping ||
      copy.freshness.read_failing ||
      (!is_probe && !IsNews(statement, known, options))) {
    co_await http::Respond(exchange, kRelayUnavailable, {}, {});
    co_return;
  }
  const base::TimePoint now = base::BootClock::now();
  http::Headers headers = {
      {std::string(kConfirmationHeader),
       fmt::format("{};{};{}", statement.version,
                   (now - statement.as_of).count(), (now - asked_at).count())}};
  Count(node, "operator_confirmations_total");
  co_await http::Respond(exchange, kRelayOk, std::move(headers), {});
}

}  // namespace eelgrassbridge::node
