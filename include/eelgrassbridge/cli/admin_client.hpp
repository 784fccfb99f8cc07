// HTTP client for the admin endpoints of a daemon.
#ifndef EELGRASSBRIDGE_CLI_ADMIN_CLIENT_HPP
#define EELGRASSBRIDGE_CLI_ADMIN_CLIENT_HPP

#include <optional>
#include <string>

#include "eelgrassbridge/cli/command.hpp"
#include "eelgrassbridge/daemon/admin_messages.hpp"
#include "eelgrassbridge/settings/settings.hpp"

namespace eelgrassbridge::cli {

/// @brief Address and credentials for requests to a daemon.
struct AdminClient {
  settings::Address address;
  std::string token;
  /// If not empty, use TLS and trust the certificates in this file.
  std::string ca_file;
  base::Duration timeout = base::seconds{5};
};

/// @brief The body of an answer with status 200, or an error: with
/// kPeerUnreachable nothing was sent, with kPeerLost the request may have been
/// processed, and other kinds were returned by the daemon.
struct AdminReply {
  std::string body;
  /// For a version conflict: the catalogue with the conflicting change.
  std::optional<catalogue::Catalogue> conflicting;
  std::optional<base::Error> error;
};

/// @brief Creates a client from --address, --token-file, --ca-file, --timeout
/// and the environment variables.
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
