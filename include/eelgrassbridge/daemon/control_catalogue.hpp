// Receives newer catalogues and distributes them to other daemons. The version
// of the current catalogue never decreases.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_CATALOGUE_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_CATALOGUE_HPP

#include <string_view>

#include "eelgrassbridge/daemon/control_state.hpp"

namespace eelgrassbridge::daemon {

/// @brief Replaces the current catalogue if the given one is newer. Returns
/// whether it was replaced.
bool AdoptCatalogue(ControlState& state,
                    base::TimePoint now,
                    catalogue::Catalogue catalogue);

/// @brief Parses a catalogue that was read from the table or received from
/// another daemon, and adopts it as AdoptCatalogue does.
bool AdoptCatalogueText(ControlState& state,
                        base::TimePoint now,
                        std::string_view json);

/// @brief Handles a version announced by another daemon. If it is newer, the
/// catalogue itself is requested.
void OnCatalogueVersion(ControlState& state,
                        base::TimePoint now,
                        base::DaemonId from,
                        std::uint64_t version);

/// @brief Sends the current catalogue to `from` if it is newer than
/// `known_version`.
void AnswerCatalogueRequest(ControlState& state,
                            base::DaemonId from,
                            std::uint64_t known_version);

/// @brief Sends one part of the join reply to a joining daemon. The last part
/// carries the catalogue, and is preceded by the group rows if the daemon
/// requested them.
void AnswerJoin(ControlState& state, const membership::SendJoinReply& reply);

/// @brief Repeats requests that have not been answered. Submits the initial
/// catalogue while the table holds none.
void TickCatalogue(ControlState& state, base::TimePoint now);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_CATALOGUE_HPP
