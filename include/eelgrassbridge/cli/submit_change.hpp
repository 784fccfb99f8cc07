// Submits a catalogue change and waits until all daemons have it.
#ifndef EELGRASSBRIDGE_CLI_SUBMIT_CHANGE_HPP
#define EELGRASSBRIDGE_CLI_SUBMIT_CHANGE_HPP

#include "eelgrassbridge/cli/admin_client.hpp"
#include "eelgrassbridge/cli/command.hpp"

namespace eelgrassbridge::cli {

/// @brief Adds --reason, --dry-run, --allow-unsafe, --wait, --wait-timeout.
void AddChangeOptions(cxxopts::Options& options);

/// @brief Prints the change, submits it once and reports the result. If the
/// answer is lost, looks for the operation id in the history instead of
/// submitting the change again.
ExitCode SubmitChange(CommandContext& context,
                      const AdminClient& client,
                      const catalogue::Catalogue& current,
                      catalogue::Catalogue next);

/// @brief Which daemons have a catalogue version in force.
struct RolloutStatus {
  /// Daemons that have the version or a later one, of `total`.
  std::size_t reached = 0;
  std::size_t total = 0;
  std::vector<std::string> missing;
  /// Daemons in state "lost"; not counted in `total`.
  std::vector<std::string> lost;
};

RolloutStatus GetRolloutStatus(const daemon::FleetStatus& status,
                               std::uint64_t version);

/// @brief Formats e.g. "in force on 11 of 13 daemons; missing: booking-2,
/// files-1".
std::string ToString(const RolloutStatus& rollout);

}  // namespace eelgrassbridge::cli

#endif  // EELGRASSBRIDGE_CLI_SUBMIT_CHANGE_HPP
