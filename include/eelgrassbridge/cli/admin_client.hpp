// HTTP client of the operators' endpoints.
#ifndef EELGRASSBRIDGE_CLI_ADMIN_CLIENT_HPP
#define EELGRASSBRIDGE_CLI_ADMIN_CLIENT_HPP

#include <optional>
#include <string>

#include "eelgrassbridge/cli/command.hpp"
#include "eelgrassbridge/daemon/admin_messages.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::cli {

/// @brief Where and how to reach a daemon.
struct AdminClient {
  settings::Address address;
  std::string token;
  /// With a value: TLS, trusting the certificates of this file.
  std::string ca_file;
  base::Duration timeout = base::seconds{5};
};

/// @brief An answer with status 200, or an error: kPeerUnreachable proves that
/// nothing was sent, kPeerLost leaves open whether the request was handled,
/// other kinds come from the daemon.
struct AdminReply {
  std::string body;
  /// Of a version conflict: the winner.
  std::optional<catalogue::Catalogue> winner;
  std::optional<base::Error> error;
};

/// @brief From --address, --token-file, --ca-file, --timeout and the
/// environment.
base::Result<AdminClient> MakeAdminClient(const CommandContext& context);

AdminReply Get(const AdminClient& client, const std::string& path);
AdminReply Post(const AdminClient& client,
                const std::string& path,
                const std::string& body);

base::Result<catalogue::Catalogue> GetCatalogue(const AdminClient& client);
base::Result<daemon::FleetStatus> GetStatus(const AdminClient& client);
base::Result<std::vector<daemon::HistoryEntry>> GetHistory(
    const AdminClient& client,
    std::uint32_t limit);

}  // namespace eelgrassbridge::cli

#endif  // EELGRASSBRIDGE_CLI_ADMIN_CLIENT_HPP
