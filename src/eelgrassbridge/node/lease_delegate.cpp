// The delegate's batches, and the calls between an owner and its delegate.
#include "eelgrassbridge/node/lease_delegate.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "eelgrassbridge/http/endpoint.hpp"
#include "eelgrassbridge/node/fleet_relay.hpp"
#include "eelgrassbridge/node/request.hpp"
#include "eelgrassbridge/node/request_watch.hpp"
#include "eelgrassbridge/node/row_relay.hpp"
#include "eelgrassbridge/node/rows.hpp"
#include "eelgrassbridge/node/store_calls.hpp"
#include "eelgrassbridge/node/store_era.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;

constexpr std::string_view kRenewalHeader = "Eelgrassbridge-Renewal";
/// Time for which a batch waits for further renewals.
constexpr std::chrono::milliseconds kBatchTime{200};
/// Time for which an owner waits for its delegate: a batch's wait, and the
/// longest call to the store.
constexpr std::chrono::milliseconds kDelegateTimeout{1500};
/// Time for which an owner renews its lease itself after its delegate could
/// not.
constexpr base::Duration kOwnRenewalTime = base::seconds{3};
constexpr std::size_t kMaxRenewalBytes = std::size_t{64} * 1024;

using RenewalPointer = std::shared_ptr<WaitingRenewal>;

void Finish(WaitingRenewal& waiting, base::Result<CommitResult> result) {
  waiting.result.emplace(std::move(result));
  http::Notify(waiting.done);
}

std::vector<Renewal> RenewalsOf(std::span<const RenewalPointer> waiting) {
  std::vector<Renewal> renewals;
  renewals.reserve(waiting.size());
  for (const RenewalPointer& one : waiting) {
    renewals.push_back(one->renewal);
  }
  return renewals;
}

/// Takes the renewals of the next batch from the queue.
std::vector<RenewalPointer> TakeBatch(std::vector<RenewalPointer>& queue) {
  const std::vector<Renewal> renewals = RenewalsOf(queue);
  std::vector<RenewalPointer> batch;
  for (const std::size_t index : ChooseBatch(renewals)) {
    batch.push_back(queue[index]);
  }
  std::erase_if(queue, [&batch](const RenewalPointer& waiting) {
    return std::ranges::find(batch, waiting) != batch.end();
  });
  return batch;
}

/// Tells the renewals whose conditions did not hold, and removes them from the
/// batch.
void FinishConflicts(std::vector<RenewalPointer>& batch,
                     const CommitResult& refused) {
  std::erase_if(batch, [&refused](const RenewalPointer& waiting) {
    const StoredRow row = CurrentRowOf(waiting->renewal, refused.current_rows);
    if (row.version == waiting->renewal.version) {
      return false;
    }
    CommitResult outcome;
    if (row.version > 0) {
      outcome.current_rows.push_back(row);
    }
    outcome.state = refused.state;
    Finish(*waiting, outcome);
    return true;
  });
}

/// Commits a batch. If conditions did not hold, the rest is committed once
/// more.
awaitable<void> CommitBatch(Node& node, std::vector<RenewalPointer> batch) {
  constexpr int kAttempts = 2;
  for (int i = 0; i < kAttempts && !batch.empty(); ++i) {
    RowTransaction transaction = JoinRenewals(RenewalsOf(batch));
    const auto result =
        co_await Commit(node, StorePurpose::kLease, std::move(transaction));
    Count(node, "lease_batches_total");
    Count(node, "lease_batch_renewals_total", {}, batch.size());
    if (result && !result.value().committed) {
      FinishConflicts(batch, result.value());
      continue;
    }
    for (const RenewalPointer& waiting : batch) {
      Finish(*waiting, result);
    }
    co_return;
  }
  for (const RenewalPointer& waiting : batch) {
    Finish(*waiting, base::Fail(ErrorKind::kStoreConflict,
                                "the batch was refused again"));
  }
}

awaitable<void> RunBatches(Node& node) {
  while (!node.renewals.waiting.empty()) {
    co_await http::Sleep(node.io, kBatchTime);
    auto batch = TakeBatch(node.renewals.waiting);
    co_await CommitBatch(node, std::move(batch));
  }
  node.renewals.running = false;
}

/// Commits a renewal in the next batch of this daemon.
awaitable<base::Result<CommitResult>> JoinBatch(Node& node, Renewal renewal) {
  auto waiting = std::make_shared<WaitingRenewal>(node.io, std::move(renewal));
  node.renewals.waiting.push_back(waiting);
  if (!node.renewals.running) {
    node.renewals.running = true;
    asio::co_spawn(node.io, RunBatches(node), asio::detached);
  }
  while (!waiting->result) {
    co_await http::Wait(waiting->done);
  }
  co_return *waiting->result;
}

/// Sends a renewal to the delegate.
awaitable<base::Result<CommitResult>> SendRenewal(Node& node,
                                                  std::string delegate,
                                                  const Renewal& renewal) {
  const auto endpoint = http::ParseEndpoint(delegate);
  if (!endpoint) {
    co_return base::Fail(ErrorKind::kPeerUnreachable, "invalid address");
  }
  const base::TimePoint sent_at = base::BootClock::now();
  const auto sent_in = EraOfCall(node);
  http::BufferedRequest request;
  request.method = "POST";
  request.target = "/lease-renewal";
  request.headers = {{"Host", delegate}, {std::string(kRenewalHeader), "1"}};
  request.body = EncodeRenewal(renewal);
  request.timeout = kDelegateTimeout;
  const auto answer =
      co_await http::Call(node.peers, *endpoint, std::move(request));
  if (!answer) {
    RecordRelayFailure(node, delegate, answer.error().detail);
    co_return base::Fail(answer.error().kind, answer.error().detail);
  }
  if (answer.value().head.status != kRelayOk) {
    co_return base::Fail(ErrorKind::kStoreUnavailable,
                         "the delegate could not renew the lease");
  }
  auto outcome = DecodeOutcome(answer.value().body);
  if (!outcome) {
    co_return outcome;
  }
  if (!AcceptEra(node, outcome.value().state.era, sent_in)) {
    co_return RestoredMeanwhile(ErrorKind::kStoreResultUnknown);
  }
  // The store read its clock after this daemon had sent the renewal.
  RecordStoreAnswer(node, &outcome.value().state, sent_at);
  co_return outcome;
}

/// Whether another daemon may renew this lease row: it is one of the present
/// era, so that no other row of the store can be changed through a delegate.
bool IsRenewable(const Node& node, const Renewal& renewal) {
  return renewal.row.table == kLeaseTable &&
         renewal.row.key.starts_with(LeasePrefix(node.store.era));
}

/// Address of the daemon that renews this one's lease; empty if this daemon
/// commits the batches itself.
std::string DelegateOf(const Node& node) {
  return node.renewals.substitute.empty() ? FleetRelayOf(node)
                                          : node.renewals.substitute;
}

/// Chooses another daemon of the data centre as the delegate, after neither the
/// present one nor this daemon could renew the lease: the store may refuse some
/// daemons and serve others.
void ChooseSubstitute(Node& node) {
  std::vector<std::string> others;
  for (const RelayCandidate& candidate : RelayCandidates(node)) {
    if (candidate.address != node.settings.peers &&
        candidate.address != node.renewals.substitute) {
      others.emplace_back(candidate.address);
    }
  }
  node.renewals.substitute =
      others.empty() ? std::string{} : others[node.random() % others.size()];
}

/// Commits a renewal in a batch of this daemon or of its delegate.
awaitable<base::Result<CommitResult>> CommitInBatch(Node& node,
                                                    const Renewal& renewal) {
  std::string delegate = DelegateOf(node);
  if (!delegate.empty()) {
    co_return co_await SendRenewal(node, std::move(delegate), renewal);
  }
  Renewal own = renewal;
  co_return co_await JoinBatch(node, std::move(own));
}

}  // namespace

awaitable<base::Result<CommitResult>> CommitRenewal(Node& node,
                                                    Renewal renewal) {
  const base::TimePoint now = base::BootClock::now();
  RenewalQueue& renewals = node.renewals;
  // A substitute is asked even if little time is left: this daemon's own
  // renewals have failed.
  const bool may_wait =
      !renewals.substitute.empty() || MayJoinBatch(node.lease.right.ends - now);
  if (may_wait && now >= renewals.own_until) {
    const std::uint64_t era = node.store.era;
    auto outcome = co_await CommitInBatch(node, renewal);
    if (outcome) {
      co_return outcome;
    }
    // The renewal may have been made or may be made later. Its condition is
    // that of the one below, so only one of them has an effect.
    renewals.own_until = base::BootClock::now() + kOwnRenewalTime;
    if (node.store.era != era) {
      co_return RestoredMeanwhile(ErrorKind::kStoreResultUnknown);
    }
  }
  RowTransaction transaction = JoinRenewals({&renewal, 1});
  auto result =
      co_await Commit(node, StorePurpose::kLease, std::move(transaction));
  if (result) {
    renewals.substitute.clear();
  } else {
    ChooseSubstitute(node);
    renewals.own_until = {};
  }
  co_return result;
}

bool IsRenewalRequest(const http::RequestHead& head) {
  return http::Find(head.headers, kRenewalHeader) != nullptr;
}

awaitable<void> HandleRenewalRequest(Node& node, http::Exchange& exchange) {
  Message message;
  const auto received =
      co_await ReceiveBody(exchange, message, kMaxRenewalBytes);
  if (!received) {
    http::Abort(exchange);
    co_return;
  }
  auto renewal = DecodeRenewal(message.body);
  if (!renewal || !IsRenewable(node, renewal.value()) || node.stopping) {
    co_await http::Respond(exchange, kRelayUnavailable, {}, {});
    co_return;
  }
  const auto outcome = co_await JoinBatch(node, std::move(renewal.value()));
  if (!outcome) {
    co_await http::Respond(exchange, kRelayUnavailable, {}, {});
    co_return;
  }
  co_await http::Respond(exchange, kRelayOk, {},
                         EncodeOutcome(outcome.value()));
}

}  // namespace eelgrassbridge::node
