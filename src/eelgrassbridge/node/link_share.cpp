// Reservations, turns and paced writes of downloads.
#include "eelgrassbridge/node/link_share.hpp"

#include <algorithm>
#include <utility>

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::TimePoint;

constexpr double kBytesPerMegabit = 125'000;
/// Answers up to this size are written without a turn, as are errors: they are
/// as short as those of other requests.
constexpr std::size_t kShortAnswerBytes = std::size_t{4} << 10U;
/// Share of the latency objective that counts at most as run time, so that a
/// target whose runs take long still gets more than one download at a time.
constexpr double kMaxRunShare = 0.3;
constexpr int kFirstErrorStatus = 400;

/// Sent bytes of answers and of requests to other daemons.
std::uint64_t SentBytes(const Node& node) {
  return node.callers_server.counts.sent_bytes +
         node.peers_server.counts.sent_bytes + node.peers.sent_bytes;
}

/// Records what was sent since the last call and is no download.
void RecordOtherTraffic(Node& node, TimePoint now) {
  LinkState& link = node.link;
  const std::uint64_t sent = SentBytes(node);
  if (sent > link.recorded_bytes) {
    limits::RecordOther(link.budget, sent - link.recorded_bytes, now);
    link.recorded_bytes = sent;
  }
}

/// Time by which the answer has to be sent. The remaining wait for a slot tells
/// how much of the objective has passed.
TimePoint LatestEnd(const RequestTerms& terms, TimePoint now) {
  const base::Duration time =
      ScaleDuration(terms.objective, kLinkSendShare - kMaxWaitShare) +
      terms.max_wait;
  return std::min(terms.deadline, now + time);
}

limits::LinkRequest LinkRequestOf(const Node& node,
                                  const RequestTerms& terms,
                                  TimePoint now) {
  const auto run_time = base::Duration{
      static_cast<std::int64_t>(node.admission.limiter.run_time_us)};
  return {std::min(run_time, ScaleDuration(terms.objective, kMaxRunShare)),
          LatestEnd(terms, now)};
}

/// Wakes the downloads that have got a turn.
void DispatchTurns(Node& node) {
  LinkState& link = node.link;
  const TimePoint now = base::BootClock::now();
  for (const limits::LinkTicket ticket : limits::GrantTurns(link.budget, now)) {
    const auto found = link.waiting.find(ticket);
    if (found != link.waiting.end()) {
      found->second->has_turn = true;
      http::Notify(found->second->changed);
      link.waiting.erase(found);
    }
  }
  if (const auto check = limits::NextTurnCheck(link.budget)) {
    http::Arm(link.turn_check, std::max(base::Duration{0}, *check - now),
              [&node] { DispatchTurns(node); });
  } else {
    http::Disarm(link.turn_check);
  }
}

bool IsShort(const RunResult& result) {
  return result.body_complete && result.body.size() <= kShortAnswerBytes;
}

/// Sets the size of the answer if it is known.
void SetAnswerSize(LinkShare& share, const RunResult& result) {
  limits::LinkBudget& budget = share.node.link.budget;
  share.typical = result.head.status < kFirstErrorStatus;
  if (result.body_complete) {
    limits::SetSize(budget, share.ticket, result.body.size(), share.typical);
  } else if (result.head.length) {
    limits::SetSize(budget, share.ticket, *result.head.length, share.typical);
  }
}

/// Waits for the turn. Returns false if the request is cancelled instead.
awaitable<bool> AwaitTurn(LinkShare& share) {
  Cancellation& cancellation = *share.cancellation;
  const std::function<void()> abort = std::move(cancellation.abort);
  cancellation.abort = [&share, &abort] {
    http::Notify(share.changed);
    if (abort) {
      abort();
    }
  };
  limits::RequestTurn(share.node.link.budget, share.ticket);
  share.node.link.waiting[share.ticket] = &share;
  DispatchTurns(share.node);
  while (!share.has_turn && !cancellation.cause) {
    co_await http::Wait(share.changed);
  }
  cancellation.abort = abort;
  co_return !cancellation.cause;
}

}  // namespace

LinkShare::LinkShare(Node& owner,
                     limits::LinkTicket reserved,
                     const limits::LinkRequest& admitted,
                     CancellationPointer request_cancellation)
    : node(owner),
      ticket(reserved),
      request(admitted),
      cancellation(std::move(request_cancellation)),
      changed(owner.io) {}

LinkShare::~LinkShare() {
  limits::Finish(this->node.link.budget, this->ticket);
  this->node.link.waiting.erase(this->ticket);
  DispatchTurns(this->node);
}

bool IsLinkLimited(const Node& node, const RequestTerms& terms) {
  return terms.request_class == catalogue::RequestClass::kDownload &&
         limits::IsLimited(node.link.budget);
}

void RefreshLink(Node& node) {
  const bool limited =
      node.routes && node.settings.link_mbps > 0 &&
      catalogue::ServesDownloads(*node.routes, node.settings.service);
  limits::LinkOptions& options = node.link.budget.options;
  if (limited && options.bytes_per_second == 0) {
    // Traffic from before does not count.
    node.link.recorded_bytes = SentBytes(node);
  }
  options.bytes_per_second =
      limited ? node.settings.link_mbps * kBytesPerMegabit : 0;
}

bool HasLinkRoom(const Node& node, const RequestTerms& terms) {
  const TimePoint now = base::BootClock::now();
  return !IsLinkLimited(node, terms) ||
         limits::HasRoom(node.link.budget, LinkRequestOf(node, terms, now),
                         now);
}

LinkSharePointer ReserveLink(Node& node,
                             const RequestTerms& terms,
                             const CancellationPointer& cancellation) {
  const TimePoint now = base::BootClock::now();
  RecordOtherTraffic(node, now);
  const limits::LinkRequest request = LinkRequestOf(node, terms, now);
  const auto ticket = limits::AdmitDownload(node.link.budget, request, now);
  return ticket
             ? std::make_shared<LinkShare>(node, *ticket, request, cancellation)
             : nullptr;
}

bool IsLinkInTime(const LinkShare& share) {
  const TimePoint now = base::BootClock::now();
  RecordOtherTraffic(share.node, now);
  return limits::IsInTime(share.node.link.budget, share.ticket, share.request,
                          now);
}

base::Duration LinkBacklog(Node& node) {
  const TimePoint now = base::BootClock::now();
  RecordOtherTraffic(node, now);
  return limits::TimeUntilRoom(node.link.budget, now);
}

awaitable<void> AwaitLinkTurn(LinkSharePointer share, RunResult& result) {
  SetAnswerSize(*share, result);
  if (IsShort(result) || !share->typical) {
    co_return;
  }
  const bool has_turn = co_await AwaitTurn(*share);
  if (has_turn) {
    if (!share->cancellation->abort) {
      // At the deadline the answer is broken off only while something can be
      // aborted, which the writing of a complete body is not otherwise.
      share->cancellation->abort = [] {};
    }
    result.link = std::move(share);
    co_return;
  }
  if (!result.body_complete) {
    http::Close(*result.connection);
  }
  RunResult failed = UnknownResult(*share->cancellation->cause);
  failed.pump = result.pump;
  result = std::move(failed);
}

awaitable<bool> WriteAtLinkPace(LinkShare& share,
                                http::Exchange& exchange,
                                std::string_view data) {
  Node& node = share.node;
  limits::LinkBudget& budget = node.link.budget;
  bool ok = true;
  while (ok && !data.empty()) {
    const TimePoint ready = base::BootClock::now();
    TimePoint now = ready;
    RecordOtherTraffic(node, now);
    while (now < limits::NextWrite(budget, ready)) {
      co_await http::Sleep(node.io, limits::NextWrite(budget, ready) - now);
      now = base::BootClock::now();
      RecordOtherTraffic(node, now);
    }
    const std::string_view piece =
        data.substr(0, limits::MaxWriteBytes(budget));
    if (share.cancellation->cause) {
      co_return false;
    }
    ok = co_await http::WriteBody(exchange, piece);
    if (ok) {
      limits::RecordWritten(budget, share.ticket, piece.size(),
                            base::BootClock::now());
      node.link.recorded_bytes += piece.size();
    }
    data.remove_prefix(piece.size());
  }
  co_return ok;
}

void LearnWrittenSize(const LinkShare& share) {
  limits::LinkBudget& budget = share.node.link.budget;
  const auto found = budget.reservations.find(share.ticket);
  if (found != budget.reservations.end()) {
    limits::SetSize(budget, share.ticket, found->second.written_bytes,
                    share.typical);
  }
}

}  // namespace eelgrassbridge::node
