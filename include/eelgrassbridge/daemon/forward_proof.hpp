// Proof that a forwarded request comes from a daemon of the site.
//
// The entry daemon counts a request against the limits of its account. Without
// a proof any caller could say that its request was forwarded and escape them.
#ifndef EELGRASSBRIDGE_DAEMON_FORWARD_PROOF_HPP
#define EELGRASSBRIDGE_DAEMON_FORWARD_PROOF_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassbridge::daemon {

/// @brief "MINUTE-MAC": the Unix minute and its HMAC-SHA256 under the secret
/// key of the site.
std::string MakeForwardProof(std::string_view secret_key, std::int64_t now_ms);

/// @brief Whether the proof was made with that key within the last minutes;
/// the clocks of two VMs may differ by a minute.
bool IsValidForwardProof(std::string_view secret_key,
                         std::string_view proof,
                         std::int64_t now_ms);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_FORWARD_PROOF_HPP
