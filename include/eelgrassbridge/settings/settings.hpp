// The settings of one daemon, as read from its YAML file.
#ifndef EELGRASSBRIDGE_SETTINGS_SETTINGS_HPP
#define EELGRASSBRIDGE_SETTINGS_SETTINGS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "eelgrassbridge/base/log.hpp"
#include "eelgrassbridge/base/time.hpp"

namespace eelgrassbridge::settings {

/// A daemon has 128 MB for everything and holds each body whole, so larger
/// bodies could not be bounded.
inline constexpr std::uint64_t kMaxBodyBytes = 32ULL * 1024 * 1024;

/// @brief An IP address (never a name) and a port.
struct Address {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;

  // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Address&) const = default;
};

/// @brief How the target beside this daemon is reached and what it can bear.
struct TargetSettings {
  Address address;
  std::string service;
  std::uint32_t slots = 9;
  std::uint32_t connections = 120;
  /// Whether the target checks the fencing token of each request.
  bool checks_fencing = false;
};

/// @brief Which store is used.
struct StoreSettings {
  /// An in-memory store inside the daemon, which keeps nothing; for one daemon.
  bool in_memory = false;
  Address address;
  base::Duration timeout = base::milliseconds{1000};
};

/// @brief Figures of the lease protocol; docs/design.md section 3.
struct LeaseSettings {
  /// Detection (up to 1.7 s), this lease, the run limit (1 s) and two writes
  /// must fit into the 5 s within which a key is served again.
  base::Duration lease = base::milliseconds{1600};
  base::Duration promise_interval = base::milliseconds{500};
  base::Duration deputy_read_bound = base::seconds{900};
  /// Clock-rate bound in parts per million.
  std::uint32_t clock_rate_bound_ppm = 10000;
};

/// @brief Figures of membership; docs/design.md section 4.
struct MembershipSettings {
  base::Duration gossip_interval = base::milliseconds{1000};
  base::Duration ping_interval = base::milliseconds{500};
  base::Duration suspicion_timeout = base::milliseconds{1000};
};

/// @brief CURVE keys shared by the daemons of a site, in Z85 text.
struct PeerKeys {
  std::string public_key;
  std::string secret_key;
  /// Older public keys still accepted during a rotation.
  std::vector<std::string> accepted_public_keys;
};

enum class OperatorScope : std::uint8_t { kRead, kChangeCatalogue, kTakeOut };

struct OperatorToken {
  std::string name;
  /// SHA-256 of the token, in hexadecimal digits.
  std::string sha256;
  std::vector<OperatorScope> scopes;
  /// Unix time in seconds after which the token is refused; none: no end.
  std::optional<std::int64_t> expires;
};

/// @brief TLS towards callers and operators.
struct TlsSettings {
  std::string certificate_file;
  std::string key_file;
};

struct Settings {
  std::string site;
  /// Name of this daemon, unique in the site.
  std::string name;
  std::string region;
  std::string data_centre;
  /// Where callers, operators and forwarding daemons connect.
  Address http;
  /// Where other daemons connect with ZeroMQ.
  Address peer;
  /// Peer addresses that are asked first at the start.
  std::vector<Address> seeds;
  TargetSettings target;
  StoreSettings store;
  LeaseSettings lease;
  MembershipSettings membership;
  std::optional<PeerKeys> keys;
  std::vector<OperatorToken> operators;
  std::optional<TlsSettings> tls;
  base::LogOptions log;
  /// Worker threads of the caller HTTP server: connections served at once.
  std::uint32_t http_workers = 128;
  std::uint64_t max_body_bytes = 16ULL * 1024 * 1024;
  /// Longest wait for requests in flight at a planned stop.
  base::Duration drain_timeout = base::seconds{30};
  /// Catalogue file applied when the store holds no catalogue yet.
  std::string initial_catalogue_file;
};

}  // namespace eelgrassbridge::settings

#endif  // EELGRASSBRIDGE_SETTINGS_SETTINGS_HPP
