// Handlers of messages from other daemons.
#include "eelgrassbridge/daemon/control_actions.hpp"
#include "eelgrassbridge/daemon/control_catalogue.hpp"
#include "eelgrassbridge/daemon/control_events.hpp"
#include "eelgrassbridge/daemon/peer_thread.hpp"
#include "eelgrassbridge/daemon/request_id_transfer.hpp"

namespace eelgrassbridge::daemon {

namespace {

struct MessageVisitor {
  ControlState& state;
  base::TimePoint now;
  base::DaemonId from;
  ownership::Actions ownership_actions;
  membership::Actions membership_actions;

  void operator()(const wire::PromiseRequest& message) {
    ownership::OnPromiseRequest(this->state.ownership, this->now, this->from,
                                message.sent_at, FromWire(message.groups),
                                this->ownership_actions);
  }
  void operator()(const wire::PromiseReply& message) {
    ownership::OnPromiseReply(this->state.ownership, this->now, this->from,
                              message.sent_at, FromWire(message.granted),
                              this->ownership_actions);
  }
  void operator()(const wire::Gossip& message) {
    membership::OnGossip(this->state.membership, this->now,
                         FromWire(message, this->state.self), this->from,
                         this->membership_actions);
  }
  void operator()(const wire::GossipAck& message) {
    membership::OnGossipAck(this->state.membership, this->from,
                            message.position);
  }
  void operator()(const wire::Ping& message) {
    membership::OnPing(this->state.membership, this->now, this->from,
                       message.sent_at, this->membership_actions);
  }
  void operator()(const wire::Pong& message) {
    membership::OnPong(this->state.membership, this->now, this->from,
                       message.sent_at);
  }
  void operator()(const wire::Suspicion& message) {
    membership::OnSuspicion(this->state.membership, this->now, this->from,
                            message.suspect, message.record_version,
                            this->membership_actions);
  }
  void operator()(const wire::ReleaseDone& message) {
    // The request-id record must be added before the first request of the new
    // epoch; serving begins with the actions of OnReleaseDone.
    auto generations = DecodeGenerations(message.request_ids);
    if (generations) {
      ImportIdRecord(this->state.context.request_ids, message.group.group,
                     this->state.self, message.group.epoch,
                     std::move(*generations));
    }
    ownership::OnReleaseDone(this->state.ownership, this->now,
                             {message.group.group, message.group.epoch},
                             this->ownership_actions);
  }
  void operator()(const wire::StopPromising& message) {
    ownership::OnStopPromising(this->state.ownership, this->now, this->from,
                               {message.group.group, message.group.epoch},
                               message.row_version, this->ownership_actions);
  }
  void operator()(const wire::StoppedPromising& message) {
    ownership::OnStoppedPromising(this->state.ownership, this->now, this->from,
                                  {message.group.group, message.group.epoch},
                                  message.row_version);
  }
  void operator()(const wire::CataloguePush& message) {
    AdoptCatalogueText(this->state, this->now, message.json);
  }
  void operator()(const wire::CatalogueRequest& message) {
    AnswerCatalogueRequest(this->state, this->from, message.known_version);
  }
  void operator()(const wire::JoinRequest& message) {
    if (message.record.id != this->from) {
      return;
    }
    if (message.wants_rows) {
      this->state.joiners_wanting_rows.insert(this->from);
    }
    membership::OnJoinRequest(this->state.membership, this->now,
                              FromWire(message.record),
                              this->membership_actions);
  }
  void operator()(const wire::JoinReply& message) {
    this->state.join_answered = this->state.join_answered || message.last;
    if (!message.catalogue_json.empty()) {
      AdoptCatalogueText(this->state, this->now, message.catalogue_json);
    }
    membership::OnJoinReply(
        this->state.membership, this->now,
        {this->state.self, FromWire(message.records), message.last},
        this->membership_actions);
    for (const wire::Item& item : message.items) {
      HandleGossipItem(this->state, this->now, this->from,
                       {item.kind, item.key, item.version, item.payload});
    }
  }
  void operator()(const wire::SuspectRequest& /*message*/) {
    // Ignored: suspects are sent as gossip items. The message remains decodable
    // because daemons of older releases may send it.
  }
};

}  // namespace

void OnPeerMessage(ControlState& state,
                   base::TimePoint now,
                   wire::IncomingMessage incoming) {
  membership::OnMessageReceived(state.membership, now, incoming.from);
  MessageVisitor visitor{state, now, incoming.from, {}, {}};
  std::visit(visitor, incoming.message);
  CarryOut(state, now, visitor.membership_actions);
  CarryOut(state, now, visitor.ownership_actions, RowSource::kOther);
}

}  // namespace eelgrassbridge::daemon
