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

/// A daemon may use 128 MB of memory and buffers each body completely, so
/// larger bodies would exceed its memory limit.
inline constexpr std::uint64_t kMaxBodyBytes = 32ULL * 1024 * 1024;

/// @brief An IP address (not a host name) and a port.
struct Address {
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;

  // clang-tidy 14 takes the zero of a defaulted comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Address&) const = default;
};

/// @brief Address and capacity of the target that this daemon serves.
struct TargetSettings {
  Address address;
  std::string service;
  /// Requests that the target can process concurrently.
  std::uint32_t slots = 9;
  std::uint32_t connections = 120;
  /// Whether the target verifies the fencing token of each request.
  bool checks_fencing = false;
};

struct StoreSettings {
  /// Use an in-memory store inside the daemon. It is lost when the daemon stops
  /// and only works for a single daemon.
  bool in_memory = false;
  Address address;
  base::Duration timeout = base::milliseconds{1000};
};

/// @brief Parameters of the lease protocol; see docs/design.md section 3.
struct LeaseSettings {
  /// A key must be served again within 5 s of the loss of its owner. Failure
  /// detection (up to 1.7 s), this lease, the run limit (1 s) and two writes to
  /// the store must fit into that time.
  base::Duration lease = base::milliseconds{1600};
  base::Duration promise_interval = base::milliseconds{500};
  base::Duration deputy_read_bound = base::seconds{900};
  /// Maximum rate error of a clock, in parts per million.
  std::uint32_t clock_rate_bound_ppm = 10000;
};

/// @brief Parameters of the membership protocol; see docs/design.md section 4.
struct MembershipSettings {
  base::Duration gossip_interval = base::milliseconds{1000};
  base::Duration ping_interval = base::milliseconds{500};
  base::Duration suspicion_timeout = base::milliseconds{1000};
};

/// @brief CURVE keys shared by the daemons of a site, Z85-encoded.
struct PeerKeys {
  std::string public_key;
  std::string secret_key;
  /// Previous public keys that are still accepted during a key rotation.
  std::vector<std::string> accepted_public_keys;
};

enum class OperatorScope : std::uint8_t { kRead, kChangeCatalogue, kTakeOut };

struct OperatorToken {
  std::string name;
  /// SHA-256 hash of the token, as lower-case hexadecimal digits.
  std::string sha256;
  std::vector<OperatorScope> scopes;
  /// Unix time in seconds after which the token is rejected; absent if the
  /// token doesn't expire.
  std::optional<std::int64_t> expires;
};

/// @brief TLS for connections from callers and operators.
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
  /// Listening address for callers, operators and daemons that forward
  /// requests.
  Address http;
  /// Listening address for ZeroMQ connections from other daemons.
  Address peer;
  /// Peer addresses to contact first when joining the site.
  std::vector<Address> seeds;
  TargetSettings target;
  StoreSettings store;
  LeaseSettings lease;
  MembershipSettings membership;
  std::optional<PeerKeys> keys;
  std::vector<OperatorToken> operators;
  std::optional<TlsSettings> tls;
  base::LogOptions log;
  /// Worker threads of the HTTP server, i.e. connections served concurrently.
  std::uint32_t http_workers = 128;
  std::uint64_t max_body_bytes = 16ULL * 1024 * 1024;
  /// Maximum wait for requests in flight during a planned shutdown.
  base::Duration drain_timeout = base::seconds{30};
  /// Catalogue file to apply if the store has no catalogue yet.
  std::string initial_catalogue_file;
};

}  // namespace eelgrassbridge::settings

#endif  // EELGRASSBRIDGE_SETTINGS_SETTINGS_HPP
