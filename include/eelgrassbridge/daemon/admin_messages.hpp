// Request and response bodies of the admin endpoints and their JSON encoding.
// Both encoding and decoding are here, since the daemon and the command-line
// tool exchange these bodies in both directions.
#ifndef EELGRASSBRIDGE_DAEMON_ADMIN_MESSAGES_HPP
#define EELGRASSBRIDGE_DAEMON_ADMIN_MESSAGES_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::daemon {

/// @brief A catalogue change submitted by an operator.
struct CatalogueChange {
  /// Version of the catalogue that the change is based on.
  std::uint64_t expected_version = 0;
  /// 32 random hexadecimal digits, unique to each change. If the response is
  /// lost, the operator looks up the outcome in the history by this id.
  std::string operation_id;
  /// Allows a change for which catalogue::UnsafeReasons returns reasons.
  bool allow_unsafe = false;
  /// The new catalogue. The daemon sets its version, author and time.
  catalogue::Catalogue next;
};

/// @brief Outcome of a submitted change.
struct ChangeResult {
  enum class Status : std::uint8_t {
    kAccepted,     ///< The conditional write is confirmed.
    kConflict,     ///< Another change came first; `current` is its catalogue.
    kUnknown,      ///< The write may have taken effect or may still do so.
    kUnavailable,  ///< Nothing was written.
  };
  Status status = Status::kUnavailable;
  catalogue::Catalogue current;
  std::string detail;
};

/// @brief One version in the history of the catalogue.
struct HistoryEntry {
  std::uint64_t version = 0;
  std::string operation_id;
  std::string changed_by;
  std::int64_t changed_at_ms = 0;
  std::string reason;
  /// Differences from the previous version, as text.
  std::vector<std::string> changes;
};

/// @brief Status of one daemon of the fleet, as known to the daemon that
/// answers the request.
struct DaemonStatus {
  std::string name;
  std::string id;
  /// Address of its admin endpoints, e.g. "127.0.0.1:8101".
  std::string http;
  std::string data_centre;
  std::string region;
  std::string service;
  /// "joining", "serving", "draining", "left" or "lost".
  std::string state;
  std::uint64_t catalogue_version = 0;
  std::uint32_t groups_owned = 0;
};

struct FleetStatus {
  std::string site;
  /// Name of the daemon that answers the request.
  std::string answered_by;
  bool ready = false;
  bool store_reachable = false;
  std::uint64_t catalogue_version = 0;
  std::uint32_t groups = 0;
  std::uint32_t groups_without_owner = 0;
  std::vector<DaemonStatus> daemons;
};

std::string WriteChangeJson(const CatalogueChange& change);
base::Result<CatalogueChange> ReadChangeJson(std::string_view text);

/// @brief Writes the entries in the given order, newest first.
std::string WriteHistoryJson(const std::vector<HistoryEntry>& entries);
base::Result<std::vector<HistoryEntry>> ReadHistoryJson(std::string_view text);

std::string WriteStatusJson(const FleetStatus& status);
base::Result<FleetStatus> ReadStatusJson(std::string_view text);

/// @brief Parses the response of GET /admin/catalogue. Version 0, which is
/// returned for a site without a catalogue, is parsed as an empty catalogue
/// because it would fail validation.
base::Result<catalogue::Catalogue> ReadCatalogueReply(std::string_view text);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_ADMIN_MESSAGES_HPP
