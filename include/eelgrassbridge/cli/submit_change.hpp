// Submission of a catalogue change and the waiting for it.
#ifndef EELGRASSBRIDGE_CLI_SUBMIT_CHANGE_HPP
#define EELGRASSBRIDGE_CLI_SUBMIT_CHANGE_HPP

#include "eelgrassbridge/cli/admin_client.hpp"
#include "eelgrassbridge/cli/command.hpp"

namespace eelgrassbridge::cli {

/// @brief Adds --reason, --dry-run, --allow-unsafe, --wait, --wait-timeout.
void AddChangeOptions(cxxopts::Options& options);

/// @brief Shows the change, submits it once and reports what became of it. A
/// lost answer is resolved by reading the history for the operation id; the
/// change is never submitted again.
ExitCode SubmitChange(CommandContext& context,
                      const AdminClient& client,
                      const catalogue::Catalogue& current,
                      catalogue::Catalogue next);

/// @brief Which daemons have a version in force.
struct InForce {
  std::size_t reached = 0;
  std::size_t total = 0;
  std::vector<std::string> missing;
  /// Not expected to take part: lost to the fleet.
  std::vector<std::string> lost;
};

InForce CountInForce(const daemon::FleetStatus& status, std::uint64_t version);

/// @brief "in force on 11 of 13 daemons; missing: booking-2, files-1".
std::string ToString(const InForce& in_force);

}  // namespace eelgrassbridge::cli

#endif  // EELGRASSBRIDGE_CLI_SUBMIT_CHANGE_HPP
