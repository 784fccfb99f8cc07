// Bodies of the operators' endpoints and their JSON form. The daemon writes
// what the commands read, and the other way round, so both directions are
// here.
#ifndef EELGRASSBRIDGE_DAEMON_ADMIN_MESSAGES_HPP
#define EELGRASSBRIDGE_DAEMON_ADMIN_MESSAGES_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/catalogue/catalogue.hpp"

namespace eelgrassbridge::daemon {

/// @brief A change as an operator submits it.
struct CatalogueChange {
  /// Version that the change was made from.
  std::uint64_t expected_version = 0;
  /// 32 hexadecimal digits, drawn once for each change; the way to find out
  /// what became of a change whose answer was lost.
  std::string operation_id;
  /// Makes a change that UnsafeReasons objects to.
  bool allow_unsafe = false;
  /// The next version. The daemon sets version, author and time.
  catalogue::Catalogue next;
};

/// @brief What became of a submitted change.
struct ChangeResult {
  enum class Status : std::uint8_t {
    kAccepted,     ///< The conditional write is confirmed.
    kConflict,     ///< Another change won; current is the winner's catalogue.
    kUnknown,      ///< The write may have taken effect or may still do so.
    kUnavailable,  ///< Nothing was written.
  };
  Status status = Status::kUnavailable;
  catalogue::Catalogue current;
  std::string detail;
};

/// @brief One accepted version.
struct HistoryEntry {
  std::uint64_t version = 0;
  std::string operation_id;
  std::string changed_by;
  std::int64_t changed_at_ms = 0;
  std::string reason;
  /// Printed differences to the version before.
  std::vector<std::string> changes;
};

/// @brief One daemon of the fleet as the answering daemon knows it.
struct DaemonStatus {
  std::string name;
  std::string id;
  /// Where it answers operators, e.g. "127.0.0.1:8101".
  std::string http;
  std::string data_centre;
  std::string region;
  std::string service;
  /// joining, serving, draining, left or lost.
  std::string state;
  std::uint64_t catalogue_version = 0;
  std::uint32_t groups_owned = 0;
};

struct FleetStatus {
  std::string site;
  /// Name of the daemon that answers.
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

/// @brief Newest entries first.
std::string WriteHistoryJson(const std::vector<HistoryEntry>& entries);
base::Result<std::vector<HistoryEntry>> ReadHistoryJson(std::string_view text);

std::string WriteStatusJson(const FleetStatus& status);
base::Result<FleetStatus> ReadStatusJson(std::string_view text);

/// @brief A catalogue of version 0, which a site without a catalogue has, is
/// not valid by itself and is read as an empty one.
base::Result<catalogue::Catalogue> ReadCatalogueReply(std::string_view text);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_ADMIN_MESSAGES_HPP
