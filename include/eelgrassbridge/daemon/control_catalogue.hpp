// How a daemon comes to newer catalogues and hands them on. Versions only go
// forward.
#ifndef EELGRASSBRIDGE_DAEMON_CONTROL_CATALOGUE_HPP
#define EELGRASSBRIDGE_DAEMON_CONTROL_CATALOGUE_HPP

#include <string_view>

#include "eelgrassbridge/daemon/control_state.hpp"

namespace eelgrassbridge::daemon {

/// @brief Takes a catalogue if it is newer; returns whether it was.
bool AdoptCatalogue(ControlState& state,
                    base::TimePoint now,
                    catalogue::Catalogue catalogue);

/// @brief The same from the text of the table or of another daemon.
bool AdoptCatalogueText(ControlState& state,
                        base::TimePoint now,
                        std::string_view json);

/// @brief Another daemon told of a version; the text is asked for if it is
/// newer.
void NoteCatalogueVersion(ControlState& state,
                          base::TimePoint now,
                          base::DaemonId from,
                          std::uint64_t version);

/// @brief Answers a request for a newer catalogue, if there is one here.
void AnswerCatalogueRequest(ControlState& state,
                            base::DaemonId from,
                            std::uint64_t known_version);

/// @brief Sends the parts of the answer to a joining daemon: members, rows if
/// it wants them, and the catalogue if its own is older.
void AnswerJoin(ControlState& state, const membership::SendJoinReply& reply);

/// @brief Repeats open requests; submits the initial catalogue while the table
/// holds none.
void TickCatalogue(ControlState& state, base::TimePoint now);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_CONTROL_CATALOGUE_HPP
