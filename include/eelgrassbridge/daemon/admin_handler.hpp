// The admin endpoints for operators, independent of the HTTP library's types:
//   GET  /admin/catalogue, /admin/history?limit=N, /admin/status, /admin/burn
//   POST /admin/catalogue
#ifndef EELGRASSBRIDGE_DAEMON_ADMIN_HANDLER_HPP
#define EELGRASSBRIDGE_DAEMON_ADMIN_HANDLER_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "eelgrassbridge/base/counters.hpp"
#include "eelgrassbridge/daemon/admin_messages.hpp"
#include "eelgrassbridge/daemon/http_exchange.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::daemon {

/// @brief Callbacks from the endpoints into the rest of the daemon. They run on
/// HTTP worker threads and may block for up to the store timeout.
struct AdminHooks {
  /// Returns the newest catalogue that this daemon knows; null if it has none.
  std::function<std::shared_ptr<const catalogue::Catalogue>()> read_catalogue;
  /// Writes change.next as version expected_version + 1. The operation id is
  /// also stored in the history row.
  std::function<ChangeResult(const CatalogueChange&)> submit_change;
  std::function<FleetStatus()> read_status;
  /// Returns the error-budget burn data of this daemon as JSON
  /// (report::WriteSnapshotJson). If not set, /admin/burn answers 404 and
  /// reports list the daemon as missing.
  std::function<std::string()> read_burn;
  /// Returns the newest `limit` entries, newest first.
  std::function<base::Result<std::vector<HistoryEntry>>(std::uint32_t limit)>
      read_history;
};

struct AdminRequest {
  std::string method;
  /// Path and query string as received.
  std::string target;
  std::vector<Header> headers;
  std::string body;
};

struct AdminResponse {
  int status = 0;
  std::vector<Header> headers;
  std::string body;
};

/// @brief Dependencies of one call; all references must outlive it.
struct AdminContext {
  const std::vector<settings::OperatorToken>& operators;
  const AdminHooks& hooks;
  base::CounterRegistry& counters;
  /// Wall clock in Unix milliseconds.
  std::int64_t now_ms = 0;
};

/// @brief Handles one request below /admin/. Requests refused for a missing or
/// invalid token or scope are counted in operator_refused_total{reason="..."}.
AdminResponse HandleAdminRequest(const AdminContext& context,
                                 const AdminRequest& request);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_ADMIN_HANDLER_HPP
