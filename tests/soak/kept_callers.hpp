// Callers that keep a connection until the daemon closes it. Their requests
// arrive when a timeout of the connection is due.
#ifndef EELGRASSBRIDGE_TESTS_SOAK_KEPT_CALLERS_HPP
#define EELGRASSBRIDGE_TESTS_SOAK_KEPT_CALLERS_HPP

#include "callers.hpp"

namespace eelgrassbridge::soak {

/// @brief Starts the callers of all VMs.
void StartKept(Callers& callers);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_KEPT_CALLERS_HPP
