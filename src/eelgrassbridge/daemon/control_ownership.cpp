// Executes the actions of the ownership core.
#include <type_traits>

#include "eelgrassbridge/daemon/control_actions.hpp"
#include "eelgrassbridge/daemon/peer_thread.hpp"
#include "eelgrassbridge/daemon/request_id_transfer.hpp"

namespace eelgrassbridge::daemon {

namespace {

membership::GossipItem MakeGossipItem(const ControlState& state,
                                      const ownership::GroupRow& row) {
  membership::GossipItem item{static_cast<std::uint32_t>(ItemKind::kRow),
                              ownership::RowKey(row.group), row.version,
                              ownership::EncodeRow(row)};
  if (row.version == 0) {
    // A deletion is gossiped with the version after the last one known. The
    // store cannot assign that version to the key again, because the deletion
    // itself used it or a higher one.
    const auto known = state.membership.items.find({item.kind, item.key});
    item.version =
        known == state.membership.items.end() ? 1 : known->second.version + 1;
  }
  return item;
}

void PublishRow(ControlState& state,
                base::TimePoint now,
                const ownership::GroupRow& row) {
  membership::PublishItem(state.membership, now, MakeGossipItem(state, row));
  ScheduleGossip(state, now);
}

struct OwnershipVisitor {
  ControlState& state;
  base::TimePoint now;
  RowSource source;

  void operator()(const ownership::SendPromiseRequest& action) {
    QueueMessage(this->state, action.to,
                 wire::PromiseRequest{action.sent_at, ToWire(action.groups)});
  }
  void operator()(const ownership::SendPromiseReply& action) {
    QueueMessage(
        this->state, action.to,
        wire::PromiseReply{action.echoed_sent_at, ToWire(action.granted)});
  }
  void operator()(const ownership::SendStopPromising& action) {
    QueueMessage(this->state, action.to,
                 wire::StopPromising{{action.group.group, action.group.epoch},
                                     action.row_version});
  }
  void operator()(const ownership::SendStoppedPromising& action) {
    QueueMessage(
        this->state, action.to,
        wire::StoppedPromising{{action.group.group, action.group.epoch},
                               action.row_version});
  }
  void operator()(const ownership::NotifyReceiver& action) {
    // The request-id record must not be exported earlier: only now is the row
    // that names the receiver confirmed, and no request is in flight.
    QueueMessage(this->state, action.to,
                 wire::ReleaseDone{{action.group.group, action.group.epoch},
                                   EncodeGenerations(ExtractIdRecord(
                                       this->state.context.request_ids,
                                       action.group.group))});
  }
  void operator()(const ownership::SubmitTransaction& action) {
    this->state.to_writer.emplace_back(action.transaction);
  }
  void operator()(const ownership::ReadRows& action) {
    std::vector<std::string> keys;
    for (const base::GroupId& group : action.groups) {
      keys.push_back(ownership::RowKey(group));
    }
    QueueRead(this->state, std::move(keys));
  }
  void operator()(const ownership::SendGrant& action) {
    this->state.to_target.push_back(action.group);
  }
  void operator()(const ownership::OpenGate& action) {
    OpenGroupGate(this->state.gates, action);
    ApplyGates(this->state.view, this->state.gates);
  }
  void operator()(const ownership::ExtendLease& action) {
    ExtendGate(this->state.gates, action);
  }
  void operator()(const ownership::CloseGate& action) {
    CloseGroupGate(this->state.gates, action.group);
    ApplyGates(this->state.view, this->state.gates);
  }
  void operator()(const ownership::BeginDrain& action) {
    BeginGateDrain(this->state.gates, action.group);
  }
  void operator()(const ownership::RowChanged& action) {
    ApplyRow(this->state.view, action.row);
    if (this->source == RowSource::kOwnWrite) {
      PublishRow(this->state, this->now, action.row);
    }
  }
};

}  // namespace

void CarryOut(ControlState& state,
              base::TimePoint now,
              const ownership::Actions& actions,
              RowSource source) {
  OwnershipVisitor visitor{state, now, source};
  for (const ownership::Action& action : actions) {
    std::visit(visitor, action);
  }
}

}  // namespace eelgrassbridge::daemon
