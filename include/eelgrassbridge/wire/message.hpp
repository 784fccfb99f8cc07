// Messages between daemons as plain structs; docs/design.md section 7.
//
// They carry no protobuf types, so that other parts need no generated header.
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
  /// Clock of the sender; echoed, never compared with another clock.
  base::TimePoint sent_at;
  std::vector<GroupEpoch> groups;

  bool operator==(const PromiseRequest&) const = default;
};

struct PromiseReply {
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
  /// Service of the target beside the daemon.
  std::string service;
  bool fencing_checked = false;
  MemberState state = MemberState::kJoining;
  std::uint64_t record_version = 0;

  bool operator==(const MemberRecord&) const = default;
};

/// @brief Something that spreads beside the member records: a group row, a
/// catalogue version, a poison fingerprint, demand of accounts.
struct Item {
  /// Numbered by the part `daemon`.
  std::uint32_t kind = 0;
  std::string key;
  std::uint64_t version = 0;
  std::string payload;

  bool operator==(const Item&) const = default;
};

struct Gossip {
  std::vector<MemberRecord> records;
  std::vector<Item> items;
  /// Echoed by the acknowledgement.
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
  /// Echo of the ping.
  base::TimePoint sent_at;

  bool operator==(const Pong&) const = default;
};

/// @brief The sender does not hear a member.
struct Suspicion {
  base::DaemonId suspect;
  std::uint64_t record_version = 0;

  bool operator==(const Suspicion&) const = default;
};

struct ReleaseDone {
  GroupEpoch group;
  /// Record of request ids, in the form of the part `limits`.
  std::string request_ids;

  bool operator==(const ReleaseDone&) const = default;
};

struct StopPromising {
  GroupEpoch group;
  /// Version of the row that holds the taker's intent.
  std::uint64_t row_version = 0;

  bool operator==(const StopPromising&) const = default;
};

struct StoppedPromising {
  GroupEpoch group;
  /// Version of the row that holds the taker's intent.
  std::uint64_t row_version = 0;

  bool operator==(const StoppedPromising&) const = default;
};

struct CataloguePush {
  std::uint64_t version = 0;
  std::string json;

  bool operator==(const CataloguePush&) const = default;
};

/// @brief Asks for a catalogue newer than this version; answered by
/// CataloguePush.
struct CatalogueRequest {
  std::uint64_t known_version = 0;

  bool operator==(const CatalogueRequest&) const = default;
};

struct JoinRequest {
  MemberRecord record;
  std::uint64_t catalogue_version = 0;
  /// Set while the sender cannot read the table.
  bool wants_rows = false;

  bool operator==(const JoinRequest&) const = default;
};

/// @brief One part of the full lists, which only a joining daemon is sent.
struct JoinReply {
  std::vector<MemberRecord> records;
  std::vector<Item> items;
  std::uint64_t catalogue_version = 0;
  /// Empty unless the joining daemon's catalogue is older.
  std::string catalogue_json;
  bool last = false;

  bool operator==(const JoinReply&) const = default;
};

/// @brief A request that was in flight when its target died.
struct SuspectRequest {
  base::Hash128Value fingerprint;
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

/// @brief A message with its sender.
struct Envelope {
  std::string site;
  base::DaemonId sender;
  /// Rises with each message of the sender; guards against replay.
  std::uint64_t sequence = 0;
  /// None: whoever listens at the address. A daemon that restarted on an
  /// address ignores what is meant for the one before it.
  base::DaemonId receiver;
  Message message;

  bool operator==(const Envelope&) const = default;
};

/// @brief Name of the kind of a message, e.g. "promise_request"; used as a
/// label of counters.
std::string_view MessageName(const Message& message);

}  // namespace eelgrassbridge::wire

#endif  // EELGRASSBRIDGE_WIRE_MESSAGE_HPP
