// Eras of the store. A restore from an older copy begins a new era, in which
// versions of rows and positions in feeds are given out again. The node keeps
// none of them beyond their era.
#ifndef EELGRASSBRIDGE_NODE_STORE_ERA_HPP
#define EELGRASSBRIDGE_NODE_STORE_ERA_HPP

#include <cstdint>
#include <optional>
#include <string_view>

#include "eelgrassbridge/node/node.hpp"

namespace eelgrassbridge::node {

/// @brief Era in which a call to the store is about to be sent; none before the
/// first answer.
std::optional<std::uint64_t> EraOfCall(const Node& node);

/// @brief Notes the era of an answer, and begins that era if it is a new one.
/// Returns whether the answer may be used: the call was sent and answered in
/// the present era.
bool AcceptEra(Node& node,
               std::uint64_t answered_in,
               const std::optional<std::uint64_t>& sent_in);

/// @brief Notes the era that another daemon has seen. If it is later than the
/// one known here, the polls of this daemon are abandoned and the rows are read
/// again.
void RecordPeerEra(Node& node, std::uint64_t era);

/// @brief Takes the text up to the next semicolon. Versions that daemons tell
/// each other are separated by semicolons, with the era last.
std::string_view TakePart(std::string_view& text);

/// @brief Whether another daemon has seen a later era of the store.
inline bool IsEraOutdated(const Node& node) {
  return node.store.peer_era > node.store.era;
}

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_STORE_ERA_HPP
