// Conversion between the plain structs and the generated protobuf messages.
#include "conversion.hpp"

#include <utility>

#include "eelgrassbridge/wire/codec.hpp"
#include "group_batch.hpp"
#include "record_conversion.hpp"

namespace eelgrassbridge::wire::detail {

namespace {

base::Result<Message> Invalid(std::string_view detail) {
  return base::Fail(base::ErrorKind::kFrameInvalid, std::string(detail));
}

void Write(const PromiseRequest& from, pb::Envelope& envelope) {
  auto& to = *envelope.mutable_promise_request();
  to.set_sent_at(base::ToMicroseconds(from.sent_at));
  WriteGroups(from.groups, *to.mutable_groups());
}

void Write(const PromiseReply& from, pb::Envelope& envelope) {
  auto& to = *envelope.mutable_promise_reply();
  to.set_sent_at(base::ToMicroseconds(from.sent_at));
  WriteGroups(from.granted, *to.mutable_granted());
}

void Write(const Gossip& from, pb::Envelope& envelope) {
  auto& to = *envelope.mutable_gossip();
  WriteMembers(from.records, *to.mutable_records());
  WriteItems(from.items, *to.mutable_items());
  to.set_position(from.position);
}

void Write(const GossipAck& from, pb::Envelope& envelope) {
  envelope.mutable_gossip_ack()->set_position(from.position);
}

void Write(const Ping& from, pb::Envelope& envelope) {
  envelope.mutable_ping()->set_sent_at(base::ToMicroseconds(from.sent_at));
}

void Write(const Pong& from, pb::Envelope& envelope) {
  envelope.mutable_pong()->set_sent_at(base::ToMicroseconds(from.sent_at));
}

void Write(const Suspicion& from, pb::Envelope& envelope) {
  auto& to = *envelope.mutable_suspicion();
  to.set_member(from.suspect.value);
  to.set_record_version(from.record_version);
}

void Write(const ReleaseDone& from, pb::Envelope& envelope) {
  AddToBatch(from.group, *envelope.mutable_release_done()->mutable_group());
  envelope.mutable_release_done()->set_request_ids(from.request_ids);
}

void Write(const StopPromising& from, pb::Envelope& envelope) {
  AddToBatch(from.group, *envelope.mutable_stop_promising()->mutable_group());
  envelope.mutable_stop_promising()->set_row_version(from.row_version);
}

void Write(const StoppedPromising& from, pb::Envelope& envelope) {
  AddToBatch(from.group,
             *envelope.mutable_stopped_promising()->mutable_group());
  envelope.mutable_stopped_promising()->set_row_version(from.row_version);
}

void Write(const CataloguePush& from, pb::Envelope& envelope) {
  envelope.mutable_catalogue_push()->set_version(from.version);
  envelope.mutable_catalogue_push()->set_json(from.json);
}

void Write(const JoinRequest& from, pb::Envelope& envelope) {
  auto& to = *envelope.mutable_join_request();
  WriteMember(from.record, *to.mutable_record());
  to.set_catalogue_version(from.catalogue_version);
  to.set_wants_rows(from.wants_rows);
}

void Write(const CatalogueRequest& from, pb::Envelope& envelope) {
  envelope.mutable_catalogue_request()->set_known_version(from.known_version);
}

void Write(const JoinReply& from, pb::Envelope& envelope) {
  auto& to = *envelope.mutable_join_reply();
  WriteMembers(from.records, *to.mutable_records());
  WriteItems(from.items, *to.mutable_items());
  to.set_catalogue_version(from.catalogue_version);
  to.set_catalogue_json(from.catalogue_json);
  to.set_last(from.last);
}

void Write(const SuspectRequest& from, pb::Envelope& envelope) {
  auto& to = *envelope.mutable_suspect_request();
  to.set_fingerprint_high(from.fingerprint.high);
  to.set_fingerprint_low(from.fingerprint.low);
  to.set_deaths(from.deaths);
}

base::Result<Message> Read(const pb::PromiseRequest& from) {
  BOOST_OUTCOME_TRY(groups, ReadGroups(from.groups()));
  return PromiseRequest{base::FromMicroseconds(from.sent_at()),
                        std::move(groups)};
}

base::Result<Message> Read(const pb::PromiseReply& from) {
  BOOST_OUTCOME_TRY(granted, ReadGroups(from.granted()));
  return PromiseReply{base::FromMicroseconds(from.sent_at()),
                      std::move(granted)};
}

base::Result<Message> Read(const pb::Gossip& from) {
  Gossip to;
  BOOST_OUTCOME_TRY(records, ReadMembers(from.records()));
  BOOST_OUTCOME_TRY(items, ReadItems(from.items()));
  to.records = std::move(records);
  to.items = std::move(items);
  to.position = from.position();
  return to;
}

base::Result<Message> Read(const pb::GossipAck& from) {
  return GossipAck{from.position()};
}

base::Result<Message> Read(const pb::Ping& from) {
  return Ping{base::FromMicroseconds(from.sent_at())};
}

base::Result<Message> Read(const pb::Pong& from) {
  return Pong{base::FromMicroseconds(from.sent_at())};
}

base::Result<Message> Read(const pb::Suspicion& from) {
  if (from.member() == 0) {
    return Invalid("id of the suspected member is missing");
  }
  return Suspicion{base::DaemonId{from.member()}, from.record_version()};
}

base::Result<Message> Read(const pb::ReleaseDone& from) {
  BOOST_OUTCOME_TRY(group, ReadOneGroup(from.group()));
  return ReleaseDone{std::move(group), from.request_ids()};
}

base::Result<Message> Read(const pb::StopPromising& from) {
  BOOST_OUTCOME_TRY(group, ReadOneGroup(from.group()));
  return StopPromising{std::move(group), from.row_version()};
}

base::Result<Message> Read(const pb::StoppedPromising& from) {
  BOOST_OUTCOME_TRY(group, ReadOneGroup(from.group()));
  return StoppedPromising{std::move(group), from.row_version()};
}

base::Result<Message> Read(const pb::CataloguePush& from) {
  if (from.version() == 0) {
    return Invalid("catalogue version is missing");
  }
  return CataloguePush{from.version(), from.json()};
}

base::Result<Message> Read(const pb::JoinRequest& from) {
  BOOST_OUTCOME_TRY(record, ReadMember(from.record()));
  return JoinRequest{std::move(record), from.catalogue_version(),
                     from.wants_rows()};
}

base::Result<Message> Read(const pb::CatalogueRequest& from) {
  return CatalogueRequest{from.known_version()};
}

base::Result<Message> Read(const pb::JoinReply& from) {
  JoinReply to;
  BOOST_OUTCOME_TRY(records, ReadMembers(from.records()));
  BOOST_OUTCOME_TRY(items, ReadItems(from.items()));
  to.records = std::move(records);
  to.items = std::move(items);
  to.catalogue_version = from.catalogue_version();
  to.catalogue_json = from.catalogue_json();
  to.last = from.last();
  return to;
}

base::Result<Message> Read(const pb::SuspectRequest& from) {
  return SuspectRequest{{from.fingerprint_high(), from.fingerprint_low()},
                        from.deaths()};
}

}  // namespace

void WriteBody(const Message& message, pb::Envelope& envelope) {
  std::visit([&](const auto& body) { Write(body, envelope); }, message);
}

base::Result<Message> ReadBody(const pb::Envelope& envelope) {
  switch (envelope.body_case()) {
    case pb::Envelope::kPromiseRequest:
      return Read(envelope.promise_request());
    case pb::Envelope::kPromiseReply:
      return Read(envelope.promise_reply());
    case pb::Envelope::kGossip:
      return Read(envelope.gossip());
    case pb::Envelope::kGossipAck:
      return Read(envelope.gossip_ack());
    case pb::Envelope::kPing:
      return Read(envelope.ping());
    case pb::Envelope::kPong:
      return Read(envelope.pong());
    case pb::Envelope::kSuspicion:
      return Read(envelope.suspicion());
    case pb::Envelope::kReleaseDone:
      return Read(envelope.release_done());
    case pb::Envelope::kStopPromising:
      return Read(envelope.stop_promising());
    case pb::Envelope::kStoppedPromising:
      return Read(envelope.stopped_promising());
    case pb::Envelope::kCataloguePush:
      return Read(envelope.catalogue_push());
    case pb::Envelope::kJoinRequest:
      return Read(envelope.join_request());
    case pb::Envelope::kJoinReply:
      return Read(envelope.join_reply());
    case pb::Envelope::kSuspectRequest:
      return Read(envelope.suspect_request());
    case pb::Envelope::kCatalogueRequest:
      return Read(envelope.catalogue_request());
    case pb::Envelope::BODY_NOT_SET:
      break;
  }
  return Invalid("body is missing or of an unknown type");
}

}  // namespace eelgrassbridge::wire::detail
