// What relays and the daemons that ask them have in common: who is a relay, and
// how pages of rows are encoded between daemons.
//
// Most daemons do not poll the store. They get rows from a relay of their data
// centre, which polls it for them, so calls to the store and bytes over the
// links between regions grow with the data centres and not with the daemons.
// See operator_relay.hpp for the operator's rows, of which a version is large,
// and fleet_relay.hpp for the rows of the fleet, which change often.
#ifndef EELGRASSBRIDGE_NODE_ROW_RELAY_HPP
#define EELGRASSBRIDGE_NODE_ROW_RELAY_HPP

#include <asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/http/client.hpp"
#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/relay_choice.hpp"

namespace eelgrassbridge::node {

/// @brief Members of this daemon's data centre that may serve as relays: those
/// whose targets are serving, apart from those that have failed as relays. The
/// views are valid until the members change.
std::vector<RelayCandidate> RelayCandidates(const Node& node);

/// @brief Number of members in this daemon's data centre.
std::size_t DaemonsOfDataCentre(const Node& node);

/// @brief Whether a daemon has failed as a relay and has not answered a probe
/// since. The row of a daemon that is lost stays, so the time since the failure
/// does not make it a relay again.
bool HasFailedAsRelay(const Node& node, const std::string& address);

/// @brief Notes that a daemon did not answer as a relay, and ends the polls of
/// it.
void RecordRelayFailure(Node& node,
                        const std::string& address,
                        std::string_view cause);

/// @brief Daemons that have failed as relays and are to be probed now.
std::vector<std::string> RelaysToProbe(const Node& node, base::TimePoint now);

/// @brief Records the end of a probe. A daemon that answered counts as a relay
/// again; one that is no longer a member is forgotten.
void RecordProbe(Node& node,
                 const std::string& address,
                 bool succeeded,
                 base::TimePoint sent_at);

/// @brief Whether a daemon that another one asked at this time for rows or a
/// confirmation still polls the store for it; zero if it was not asked.
bool IsAskedRelay(base::TimePoint asked_at);

/// @brief A request to a relay that is on its way.
struct PendingAnswer {
  std::optional<base::Result<http::Response>> answer;
  std::shared_ptr<http::CallProgress> progress =
      std::make_shared<http::CallProgress>();
};

/// @brief Sends a request to a relay; `node.store.changed` is notified when it
/// has ended. It is ended by `http::Cancel(*pending->progress)`.
std::shared_ptr<PendingAnswer> SendToRelay(Node& node,
                                           asio::ip::tcp::endpoint relay,
                                           http::BufferedRequest request);

/// Statuses of a relay's answer.
inline constexpr int kRelayOk = 200;
/// The relay does not have all changes after the position.
inline constexpr int kRelayGone = 410;
/// The relay cannot answer now.
inline constexpr int kRelayUnavailable = 503;

/// @brief Rows in a relay's answer. Fails with kNotFound if the relay does not
/// have all changes after the position, with kStoreUnavailable if it cannot
/// answer now, and with kFrameInvalid if the page is malformed.
base::Result<RowPage> PageOfAnswer(const http::Response& answer);

/// @brief Encodes the rows and the version of a page as CBOR.
std::string EncodeRowPage(const RowPage& page);
/// @brief Decodes a page; fails with kFrameInvalid if it is malformed.
base::Result<RowPage> DecodeRowPage(std::string_view text);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_ROW_RELAY_HPP
