// What the end of a request means to an engineer on call.
#ifndef EELGRASSBRIDGE_EXPLAIN_CONCLUSIONS_HPP
#define EELGRASSBRIDGE_EXPLAIN_CONCLUSIONS_HPP

#include <string>

#include "eelgrassbridge/explain/explanation.hpp"

namespace eelgrassbridge::explain {

/// @brief The cause of the request's end, from its steps.
std::string ConclusionOf(const Explanation& explanation);

}  // namespace eelgrassbridge::explain

#endif  // EELGRASSBRIDGE_EXPLAIN_CONCLUSIONS_HPP
