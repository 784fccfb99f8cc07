// Announces, restores and confirms the departure of the target.
#include "eelgrassbridge/node/departure.hpp"

#include "eelgrassbridge/node/target_run.hpp"

namespace eelgrassbridge::node {

namespace {

/// A target takes an answer after 1 s for none.
constexpr base::Duration kMaxRecordTime = base::milliseconds{700};

/// Whether the member row, as read from the store, has the present incarnation
/// of the target as one that leaves.
bool IsRecordedAsLeaving(const Node& node) {
  const auto found = node.fleet.members.find(node.settings.peers);
  return found != node.fleet.members.end() &&
         node.fleet.versions.contains(node.settings.peers) &&
         found->second.target == node.target.id &&
         found->second.born == node.target.born && !found->second.serving;
}

}  // namespace

void AnnounceDeparture(Node& node, std::string_view cause) {
  Log(node.log, EventKind::kTargetLeaving,
      {{"target", node.target.id}, {"cause", cause}});
  RefreshAdmission(node);
  http::Notify(node.member_inputs_changed);
  http::Notify(node.lease_inputs_changed);
  http::Notify(node.target_changed);
}

void ApplyRecordedDeparture(Node& node) {
  if (IsServing(node.target) && IsRecordedAsLeaving(node)) {
    node.target.leaving = true;
    AnnounceDeparture(node, "an earlier process has recorded the departure");
  }
}

asio::awaitable<bool> AwaitRecordedDeparture(Node& node) {
  const base::TimePoint latest = base::BootClock::now() + kMaxRecordTime;
  // A next incarnation replaces the one that leaves.
  while (node.target.leaving && !IsRecordedAsLeaving(node)) {
    if (base::BootClock::now() >= latest) {
      co_return false;
    }
    co_await http::WaitUntil(node.member_inputs_changed, latest);
  }
  co_return true;
}

}  // namespace eelgrassbridge::node
