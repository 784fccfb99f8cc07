// Messages between daemons as plain structs; docs/design.md section 7.
//
// They don't use protobuf types, so that other parts don't depend on the
// generated header.
#ifndef EELGRASSBRIDGE_WIRE_MESSAGE_HPP
#define EELGRASSBRIDGE_WIRE_MESSAGE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "eelgrassbridge/base/hash.hpp"
#include "eelgrassbridge/base/identifier.hpp"
#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::wire {

struct GroupEpoch {
  base::GroupId group;
  std::uint64_t epoch = 0;

  bool operator==(const GroupEpoch&) const = default;
};

struct PromiseRequest {
  /// Time on the sender's clock, echoed by the reply. Never compared with
  /// another daemon's clock.
  base::TimePoint sent_at;
  std::vector<GroupEpoch> groups;

  bool operator==(const PromiseRequest&) const = default;
};

struct PromiseReply {
  /// Copied from the request.
  base::TimePoint sent_at;
  std::vector<GroupEpoch> granted;

  bool operator==(const PromiseReply&) const = default;
};

enum class MemberState : std::uint8_t {
  kJoining,
  kServing,
  kDraining,
  kLeft,
  kLost,
};

struct MemberRecord {
  base::DaemonId id;
  std::string name;
  /// "ip:port".
  std::string http_address;
  std::string peer_address;
  std::string data_centre;
  std::string region;
  /// Service of the target on the daemon's VM.
  std::string service;
  bool fencing_checked = false;
  MemberState state = MemberState::kJoining;
  std::uint64_t record_version = 0;

  bool operator==(const MemberRecord&) const = default;
};

/// @brief Versioned state that is disseminated by gossip in addition to member
/// records: a group row, a catalogue version, the fingerprint of a poison
/// request, or the demand of accounts.
struct Item {
  /// The values are defined by the part `daemon`.
  std::uint32_t kind = 0;
  std::string key;
  std::uint64_t version = 0;
  std::string payload;

  bool operator==(const Item&) const = default;
};

struct Gossip {
  std::vector<MemberRecord> records;
  std::vector<Item> items;
  /// Copied into the acknowledgement.
  std::uint64_t position = 0;

  bool operator==(const Gossip&) const = default;
};

struct GossipAck {
  std::uint64_t position = 0;

  bool operator==(const GossipAck&) const = default;
};

struct Ping {
  base::TimePoint sent_at;

  bool operator==(const Ping&) const = default;
};

struct Pong {
  /// Copied from the ping.
  base::TimePoint sent_at;

  bool operator==(const Pong&) const = default;
};

/// @brief The sender suspects that a member has failed, since it gets no
/// replies from it.
struct Suspicion {
  base::DaemonId suspect;
  std::uint64_t record_version = 0;

  bool operator==(const Suspicion&) const = default;
};

struct ReleaseDone {
  GroupEpoch group;
  /// Recorded request ids, encoded by the part `limits`.
  std::string request_ids;

  bool operator==(const ReleaseDone&) const = default;
};

struct StopPromising {
  GroupEpoch group;
  /// Version of the group row with the intent to take over the group.
  std::uint64_t row_version = 0;

  bool operator==(const StopPromising&) const = default;
};

struct StoppedPromising {
  GroupEpoch group;
  /// Version of the group row with the intent to take over the group.
  std::uint64_t row_version = 0;

  bool operator==(const StoppedPromising&) const = default;
};

struct CataloguePush {
  std::uint64_t version = 0;
  std::string json;

  bool operator==(const CataloguePush&) const = default;
};

/// @brief Requests a catalogue newer than the known version. The reply is a
/// CataloguePush.
struct CatalogueRequest {
  std::uint64_t known_version = 0;

  bool operator==(const CatalogueRequest&) const = default;
};

struct JoinRequest {
  MemberRecord record;
  std::uint64_t catalogue_version = 0;
  /// Whether the sender also needs the group rows, because it cannot read the
  /// table.
  bool wants_rows = false;

  bool operator==(const JoinRequest&) const = default;
};

/// @brief One part of the complete lists, which are sent only to a joining
/// daemon.
struct JoinReply {
  std::vector<MemberRecord> records;
  std::vector<Item> items;
  std::uint64_t catalogue_version = 0;
  /// Empty unless the joining daemon's catalogue is older.
  std::string catalogue_json;
  /// Set in the last part.
  bool last = false;

  bool operator==(const JoinReply&) const = default;
};

/// @brief A request that may be poisonous: it was in flight when its target
/// died.
struct SuspectRequest {
  base::Hash128Value fingerprint;
  /// Number of target deaths during requests with this fingerprint.
  std::uint32_t deaths = 0;

  bool operator==(const SuspectRequest&) const = default;
};

using Message = std::variant<PromiseRequest,
                             PromiseReply,
                             Gossip,
                             GossipAck,
                             Ping,
                             Pong,
                             Suspicion,
                             ReleaseDone,
                             StopPromising,
                             StoppedPromising,
                             CataloguePush,
                             JoinRequest,
                             JoinReply,
                             SuspectRequest,
                             CatalogueRequest>;

/// @brief A message with its sender and addressee.
struct Envelope {
  std::string site;
  base::DaemonId sender;
  /// Increases with each message of the sender; protects against replay.
  std::uint64_t sequence = 0;
  /// If empty, the message is for any daemon that listens on the address. A
  /// daemon ignores messages to other ids, e.g. to a previous daemon on the
  /// same address.
  base::DaemonId receiver;
  Message message;

  bool operator==(const Envelope&) const = default;
};

/// @brief Returns the name of the message's type, e.g. "promise_request"; used
/// as a metric label.
std::string_view MessageName(const Message& message);

}  // namespace eelgrassbridge::wire

#endif  // EELGRASSBRIDGE_WIRE_MESSAGE_HPP
