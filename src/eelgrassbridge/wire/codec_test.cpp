// Tests of the frame codec: each message type must survive a round trip, and
// frames from other programs must neither crash the decoder nor exceed a limit.
#include "eelgrassbridge/wire/codec.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "peer.pb.h"

namespace eelgrassbridge::wire {

namespace {

const base::GroupId kGroup{"listing", "litoral+sur", 7, std::nullopt};
const base::GroupId kHotGroup{"listing", "litoral+sur", 7, 99};

MemberRecord MakeMember() {
  return {base::DaemonId{5},  "a1",  "127.0.0.1:1", "127.0.0.1:2",
          "sur-cerro",        "sur", "listing",     true,
          MemberState::kLost, 12};
}

std::vector<Message> MessagesOfAllTypes() {
  const base::TimePoint time = base::FromMicroseconds(123456789);
  const std::vector<GroupEpoch> groups = {
      {kGroup, 3}, {kHotGroup, 4}, {kGroup, 5}, {{"b", "sur", 1, {}}, 6}};
  const Item item{2, "group/x", 9, std::string("\0\xff", 2)};
  return {PromiseRequest{time, groups},
          PromiseReply{time, {}},
          Gossip{{MakeMember()}, {item}, 77},
          GossipAck{77},
          Ping{time},
          Pong{time},
          Suspicion{base::DaemonId{5}, 2},
          ReleaseDone{{kGroup, 3}, "ids"},
          StopPromising{{kHotGroup, 3}, 8},
          StoppedPromising{{kGroup, 3}, 8},
          CataloguePush{4, "{}"},
          JoinRequest{MakeMember(), 3, true},
          JoinReply{{MakeMember()}, {item}, 4, "{}", true},
          SuspectRequest{{1, 2}, 1},
          CatalogueRequest{6}};
}

Envelope Wrap(Message message) {
  return {"astillas", base::DaemonId{1}, 42, base::DaemonId{2},
          std::move(message)};
}

bool IsRejected(std::string_view frame) {
  const auto decoded = Decode(frame, "astillas");
  return !decoded && decoded.error().kind == base::ErrorKind::kFrameInvalid;
}

}  // namespace

TEST_CASE("each message type survives a round trip") {
  const auto messages = MessagesOfAllTypes();
  REQUIRE(messages.size() == std::variant_size_v<Message>);
  for (std::size_t at = 0; at < messages.size(); ++at) {
    REQUIRE(messages[at].index() == at);
    CAPTURE(MessageName(messages[at]));
    const auto frame = Encode(Wrap(messages[at]));
    REQUIRE(frame);
    const auto decoded = Decode(frame.value(), "astillas");
    REQUIRE(decoded);
    CHECK(decoded.value() == Wrap(messages[at]));
  }
}

TEST_CASE("frames of another site or version or without sender are rejected") {
  const std::string frame = Encode(Wrap(Ping{})).value();
  CHECK(Decode(frame, "hanbit").error().kind == base::ErrorKind::kFrameInvalid);
  CHECK(IsRejected(""));
  CHECK(IsRejected(std::string(kMaxFrameBytes + 1, 'x')));
  const auto changed = [&](const auto& change) {
    pb::Envelope envelope;
    REQUIRE(envelope.ParseFromString(frame));
    change(envelope);
    return envelope.SerializeAsString();
  };
  CHECK(IsRejected(changed([](auto& e) { e.set_protocol_version(2); })));
  CHECK(IsRejected(changed([](auto& e) { e.set_sender(0); })));
  CHECK(IsRejected(changed([](auto& e) { e.set_sequence(0); })));
  CHECK(IsRejected(changed([](auto& e) { e.clear_body(); })));
}

TEST_CASE("invalid names, ids, states and list lengths are rejected") {
  const auto rejected = [](Message message) {
    const auto frame = Encode(Wrap(std::move(message)));
    return frame && IsRejected(frame.value());
  };
  MemberRecord member = MakeMember();
  member.name = std::string(kMaxNameBytes + 1, 'n');
  CHECK(rejected(Gossip{{member}, {}, 1}));
  member = MakeMember();
  member.id = {};
  CHECK(rejected(JoinRequest{member, 0, false}));
  member = MakeMember();
  member.state = static_cast<MemberState>(9);
  CHECK(rejected(JoinRequest{member, 0, false}));
  CHECK(rejected(StopPromising{{{"a/b", "sur", 1, {}}, 1}, 1}));
  CHECK(rejected(StopPromising{{{"", "sur", 1, {}}, 1}, 1}));
  CHECK(rejected(Gossip{{}, {{1, "line\nbreak", 1, ""}}, 1}));
  CHECK(rejected(Suspicion{}));
  CHECK(rejected(CataloguePush{}));
  CHECK(rejected(PromiseRequest{
      {}, std::vector<GroupEpoch>(kMaxListItems + 1, {kGroup, 1})}));
  CHECK_FALSE(Encode(Wrap(CataloguePush{1, std::string(kMaxFrameBytes, 'c')})));
}

TEST_CASE("a group list whose arrays differ in length is rejected") {
  pb::Envelope envelope;
  REQUIRE(envelope.ParseFromString(
      Encode(Wrap(PromiseRequest{{}, {{kGroup, 1}}})).value()));
  envelope.mutable_promise_request()->mutable_groups(0)->add_index(3);
  CHECK(IsRejected(envelope.SerializeAsString()));
}

TEST_CASE("randomly altered frames are rejected or decoded without a crash") {
  const auto messages = MessagesOfAllTypes();
  rc::check([&] {
    std::string frame =
        Encode(
            Wrap(messages[*rc::gen::inRange<std::size_t>(0, messages.size())]))
            .value();
    const int changes = *rc::gen::inRange(1, 8);
    for (int at = 0; at < changes; ++at) {
      frame[*rc::gen::inRange<std::size_t>(0, frame.size())] =
          *rc::gen::arbitrary<char>();
    }
    frame.resize(*rc::gen::inRange<std::size_t>(0, frame.size() + 1));
    const auto decoded = Decode(frame, "astillas");
    RC_ASSERT(decoded ||
              decoded.error().kind == base::ErrorKind::kFrameInvalid);
  });
}

}  // namespace eelgrassbridge::wire
