// The operators' endpoints, free of the HTTP library's types:
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

/// @brief What the endpoints need from the rest of the daemon. All hooks are
/// called from HTTP workers and may block up to the store's timeout.
struct AdminHooks {
  /// The newest catalogue that this daemon knows; null before the first.
  std::function<std::shared_ptr<const catalogue::Catalogue>()> read_catalogue;
  /// Writes change.next as version expected_version + 1 under the operation
  /// id, which also goes into the history row.
  std::function<ChangeResult(const CatalogueChange&)> submit_change;
  std::function<FleetStatus()> read_status;
  /// Burn data of this daemon, as JSON (report::WriteSnapshotJson); without
  /// it /admin/burn is not found and the daemon shows as missing in reports.
  std::function<std::string()> read_burn;
  /// The newest entries, newest first.
  std::function<base::Result<std::vector<HistoryEntry>>(std::uint32_t limit)>
      read_history;
};

struct AdminRequest {
  std::string method;
  /// Path with query, as received.
  std::string target;
  std::vector<Header> headers;
  std::string body;
};

struct AdminResponse {
  int status = 0;
  std::vector<Header> headers;
  std::string body;
};

/// @brief What a handler works with; all references outlive the call.
struct AdminContext {
  const std::vector<settings::OperatorToken>& operators;
  const AdminHooks& hooks;
  base::CounterRegistry& counters;
  /// Wall clock.
  std::int64_t now_ms = 0;
};

/// @brief Answers one request below /admin/. Refused attempts are counted in
/// operator_refused_total{reason="..."}.
AdminResponse HandleAdminRequest(const AdminContext& context,
                                 const AdminRequest& request);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_ADMIN_HANDLER_HPP
