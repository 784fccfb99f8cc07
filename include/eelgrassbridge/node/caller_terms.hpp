// What a caller's request says about how it is to be handled.
#ifndef EELGRASSBRIDGE_NODE_CALLER_TERMS_HPP
#define EELGRASSBRIDGE_NODE_CALLER_TERMS_HPP

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/catalogue/route_table.hpp"
#include "eelgrassbridge/http/message.hpp"
#include "eelgrassbridge/node/final_answer.hpp"
#include "eelgrassbridge/node/node.hpp"
#include "eelgrassbridge/node/request.hpp"

namespace eelgrassbridge::node {

/// @brief Fills the request's terms from its head and returns its route. Fails
/// with kUnknownService if no route matches, with kUnauthorized if the route
/// needs an API key and the request has none that is known, and with
/// kBadRequest if the service is divided by key and the request has no valid
/// key.
base::Result<const catalogue::Route*> ReadTerms(
    Node& node,
    const catalogue::RouteTable& routes,
    const http::RequestHead& head,
    CallerRequest& request);

/// @brief Returns the head of the request without the headers that are meant
/// for this daemon.
Message MakeMessage(const Node& node, const http::RequestHead& head);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_CALLER_TERMS_HPP
