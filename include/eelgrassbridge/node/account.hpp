// Client accounts of requests: the API key of a caller, the header between
// daemons, and the check that an account is still in force.
#ifndef EELGRASSBRIDGE_NODE_ACCOUNT_HPP
#define EELGRASSBRIDGE_NODE_ACCOUNT_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/catalogue/route_table.hpp"
#include "eelgrassbridge/http/message.hpp"
#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/platform_port.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief Returns the API key of a request; empty if it has none, another
/// scheme, or several credentials.
std::string_view ReadApiKey(const http::Headers& headers,
                            const HeaderNames& names);

/// @brief Sets account, key and priority of a caller's request. Fails with
/// kUnauthorized if the route needs a key and the request has none that is
/// known.
base::Result<void> SetAccount(Node& node,
                              const catalogue::RouteTable& routes,
                              const catalogue::Route& route,
                              const http::Headers& headers,
                              RequestTerms& terms);

/// @brief Whether the request may still be sent by the routes in force now:
/// its key or, on a daemon that has received it from another one, its account
/// has not been withdrawn.
bool IsAccountInForce(const Node& node, const RequestTerms& terms);

/// @brief Lets a request whose account was withdrawn continue without one if
/// its route is public. Returns false if it must not continue.
bool DropAccount(const catalogue::Route& route, RequestTerms& terms);

/// @brief Removes the key and the account that a caller sent if accounts are in
/// use. They are removed again for each attempt, because accounts may have come
/// into use since the request arrived, or are not in use yet on the daemon that
/// received it.
void RemoveAccountHeaders(const Node& node, http::Headers& headers);

/// @brief Encodes the account and the version of the routes in which it was
/// found for another daemon, e.g. "17;small-shop".
std::string EncodeAccount(std::string_view account, std::uint64_t found_in);

/// @brief Reads what EncodeAccount wrote; an empty text means no account. Fails
/// with kBadRequest if the text is invalid.
base::Result<void> DecodeAccount(std::string_view text, RequestTerms& terms);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_ACCOUNT_HPP
