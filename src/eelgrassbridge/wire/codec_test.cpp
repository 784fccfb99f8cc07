// Guards the frame codec: every message must survive the way over the wire,
// and no frame that another program sends may crash a daemon or pass a limit.
#include "eelgrassbridge/wire/codec.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "peer.pb.h"

namespace eelgrassbridge::wire {

namespace {

const base::GroupId kGroup{"listing", "litoral+sur", 7, std::nullopt};
const base::GroupId kHotGroup{"listing", "litoral+sur", 7, 99};

MemberRecord SomeMember() {
  return {base::DaemonId{5},  "a1",  "127.0.0.1:1", "127.0.0.1:2",
          "sur-cerro",        "sur", "listing",     true,
          MemberState::kLost, 12};
}

std::vector<Message> OneOfEach() {
  const base::TimePoint time = base::FromMicroseconds(123456789);
  const std::vector<GroupEpoch> groups = {
      {kGroup, 3}, {kHotGroup, 4}, {kGroup, 5}, {{"b", "sur", 1, {}}, 6}};
  const Item item{2, "group/x", 9, std::string("\0\xff", 2)};
  return {PromiseRequest{time, groups},
          PromiseReply{time, {}},
          Gossip{{SomeMember()}, {item}, 77},
          GossipAck{77},
          Ping{time},
          Pong{time},
          Suspicion{base::DaemonId{5}, 2},
          ReleaseDone{{kGroup, 3}, "ids"},
          StopPromising{{kHotGroup, 3}, 8},
          StoppedPromising{{kGroup, 3}, 8},
          CataloguePush{4, "{}"},
          JoinRequest{SomeMember(), 3, true},
          JoinReply{{SomeMember()}, {item}, 4, "{}", true},
          SuspectRequest{{1, 2}, 1},
          CatalogueRequest{6}};
}

Envelope Wrap(Message message) {
  return {"astillas", base::DaemonId{1}, 42, base::DaemonId{2},
          std::move(message)};
}

bool IsRefused(std::string_view frame) {
  const auto decoded = Decode(frame, "astillas");
  return !decoded && decoded.error().kind == base::ErrorKind::kFrameInvalid;
}

}  // namespace

TEST_CASE("every kind of message comes back as it was sent") {
  const auto messages = OneOfEach();
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

TEST_CASE("frames of another site, version or without a sender are refused") {
  const std::string frame = Encode(Wrap(Ping{})).value();
  CHECK(Decode(frame, "hanbit").error().kind == base::ErrorKind::kFrameInvalid);
  CHECK(IsRefused(""));
  CHECK(IsRefused(std::string(kMaxFrameBytes + 1, 'x')));
  const auto changed = [&](const auto& change) {
    pb::Envelope envelope;
    REQUIRE(envelope.ParseFromString(frame));
    change(envelope);
    return envelope.SerializeAsString();
  };
  CHECK(IsRefused(changed([](auto& e) { e.set_protocol_version(2); })));
  CHECK(IsRefused(changed([](auto& e) { e.set_sender(0); })));
  CHECK(IsRefused(changed([](auto& e) { e.set_sequence(0); })));
  CHECK(IsRefused(changed([](auto& e) { e.clear_body(); })));
}

TEST_CASE("contents outside the limits are refused") {
  const auto refused = [](Message message) {
    const auto frame = Encode(Wrap(std::move(message)));
    return frame && IsRefused(frame.value());
  };
  MemberRecord member = SomeMember();
  member.name = std::string(kMaxNameBytes + 1, 'n');
  CHECK(refused(Gossip{{member}, {}, 1}));
  member = SomeMember();
  member.id = {};
  CHECK(refused(JoinRequest{member, 0, false}));
  member = SomeMember();
  member.state = static_cast<MemberState>(9);
  CHECK(refused(JoinRequest{member, 0, false}));
  CHECK(refused(StopPromising{{{"a/b", "sur", 1, {}}, 1}, 1}));
  CHECK(refused(StopPromising{{{"", "sur", 1, {}}, 1}, 1}));
  CHECK(refused(Gossip{{}, {{1, "line\nbreak", 1, ""}}, 1}));
  CHECK(refused(Suspicion{}));
  CHECK(refused(CataloguePush{}));
  CHECK(refused(PromiseRequest{
      {}, std::vector<GroupEpoch>(kMaxListItems + 1, {kGroup, 1})}));
  CHECK_FALSE(Encode(Wrap(CataloguePush{1, std::string(kMaxFrameBytes, 'c')})));
}

TEST_CASE("a group list whose columns differ in length is refused") {
  pb::Envelope envelope;
  REQUIRE(envelope.ParseFromString(
      Encode(Wrap(PromiseRequest{{}, {{kGroup, 1}}})).value()));
  envelope.mutable_promise_request()->mutable_groups(0)->add_index(3);
  CHECK(IsRefused(envelope.SerializeAsString()));
}

TEST_CASE("damaged frames are refused or decoded, and never crash") {
  const auto messages = OneOfEach();
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
