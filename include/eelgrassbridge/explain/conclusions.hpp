// Explains to an engineer on call why a request ended as it did.
#ifndef EELGRASSBRIDGE_EXPLAIN_CONCLUSIONS_HPP
#define EELGRASSBRIDGE_EXPLAIN_CONCLUSIONS_HPP

#include <string>

#include "eelgrassbridge/explain/explanation.hpp"

namespace eelgrassbridge::explain {

/// @brief Derives the cause of the request's outcome from its steps.
std::string ConclusionOf(const Explanation& explanation);

}  // namespace eelgrassbridge::explain

#endif  // EELGRASSBRIDGE_EXPLAIN_CONCLUSIONS_HPP
