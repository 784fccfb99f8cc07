// Sets the headers of a forwarded request and counts the bytes sent to other
// regions.
#include "eelgrassbridge/daemon/forwarder.hpp"

#include <spdlog/fmt/fmt.h>

#include "eelgrassbridge/daemon/forward_proof.hpp"
#include "eelgrassbridge/routing/deadline.hpp"

namespace eelgrassbridge::daemon {

namespace {

/// Approximate size of the request or status line and the headers, which are
/// transferred too.
constexpr std::uint64_t kHeaderBytes = 400;

bool IsSetAtEachHop(std::string_view name) {
  return name == kHopsHeader || name == kDeadlineHeader ||
         name == kForwardProofHeader;
}

ExchangeRequest MakeExchange(const RequestContext& context,
                             const ResolvedRequest& resolved,
                             base::Duration allowed) {
  const CallerRequest& request = resolved.request;
  ExchangeRequest exchange{
      request.method, request.target, {}, request.body, resolved.interrupt};
  for (const Header& header : request.headers) {
    if (!IsSetAtEachHop(header.name)) {
      exchange.headers.push_back(header);
    }
  }
  const auto milliseconds =
      std::chrono::duration_cast<base::milliseconds>(allowed);
  exchange.headers.push_back(
      {std::string(kHopsHeader), std::to_string(request.hops + 1)});
  exchange.headers.push_back(
      {std::string(kDeadlineHeader), std::to_string(milliseconds.count())});
  if (context.settings.keys) {
    exchange.headers.push_back(
        {std::string(kForwardProofHeader),
         MakeForwardProof(context.settings.keys->secret_key,
                          base::UnixMilliseconds())});
  }
  return exchange;
}

void CountCrossRegion(RequestContext& context,
                      const ResolvedRequest& resolved,
                      const PeerView& peer,
                      const CallerAnswer& answer) {
  if (peer.region == context.settings.region) {
    return;
  }
  const auto reason = resolved.entry.service->divided_by_key
                          ? routing::CrossRegionReason::kOwnerElsewhere
                          : routing::CrossRegionReason::kNoNearerTarget;
  routing::AddBytes(context.cross_region, reason,
                    resolved.request.body.size() + kHeaderBytes);
  routing::AddBytes(context.cross_region, routing::CrossRegionReason::kAnswer,
                    answer.body.size() + kHeaderBytes);
}

}  // namespace

CallerAnswer ForwardToPeer(RequestContext& context,
                           const ResolvedRequest& resolved,
                           const PeerView& peer) {
  const auto allowed =
      routing::TimeForNextHop(resolved.deadline, base::BootClock::now());
  if (!allowed) {
    return ErrorAnswer(base::ErrorKind::kDeadlineBeforeRun,
                       "too little time is left to forward the request");
  }
  context.request_counters.forwarded.fetch_add(1);
  auto answer = Exchange(context.peers, peer.http,
                         MakeExchange(context, resolved, *allowed),
                         resolved.deadline, kPeerErrors);
  CallerAnswer converted =
      answer ? ReadPeerAnswer(std::move(answer).value())
             : ErrorAnswer(answer.error().kind, answer.error().detail);
  CountCrossRegion(context, resolved, peer, converted);
  if (FindHeader(converted.headers, kOwnerHeader).empty()) {
    converted.headers.push_back(
        {std::string(kOwnerHeader),
         fmt::format("{}:{}", peer.http.ip, peer.http.port)});
  }
  return converted;
}

}  // namespace eelgrassbridge::daemon
