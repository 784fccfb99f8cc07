// Finds requests that crash their targets. The daemon beside a target knows the
// runs whose connections broke; if the target's next sign of life is a new
// incarnation, it tells all daemons through a row of the store.
#ifndef EELGRASSBRIDGE_NODE_CRASH_WATCH_HPP
#define EELGRASSBRIDGE_NODE_CRASH_WATCH_HPP

#include <asio/awaitable.hpp>

#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"
#include "eelgrassbridge/node/row_store.hpp"

namespace eelgrassbridge::node {

/// @brief How the request is treated for the crashes that are known here.
routing::CrashVerdict CrashVerdictOf(const Node& node,
                                     const RequestTerms& terms,
                                     const Message& message);

/// @brief Notes the end of a run on the target beside this daemon.
void RecordRunEnd(Node& node,
                  const RequestTerms& terms,
                  const Message& message,
                  const RunResult& result,
                  base::TimePoint began);

/// @brief Notes that a target has answered the request. Only daemons that send
/// requests of callers judge them, so they collect what refutes a suspicion.
void RecordAnswer(Node& node,
                  const RequestTerms& terms,
                  const Message& message,
                  base::TimePoint began);

/// @brief Notes that the incarnation whose runs broke off has reported again.
void RecordSignOfLife(Node& node);

/// @brief Notes that a new incarnation has reported: the runs that broke off
/// ended with the one before.
void RecordRestart(Node& node);

/// @brief Applies the crashes in a daemon's row. Those in this daemon's row
/// were written by a former process, and stay in it.
void ApplyCrashRow(Node& node, const StoredRow& row);

/// @brief Notes that the rows of this daemon's service have been read.
void RecordOwnRowsRead(Node& node);

/// @brief Writes this daemon's crashes to the store after each change.
asio::awaitable<void> PublishCrashes(Node& node);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_CRASH_WATCH_HPP
