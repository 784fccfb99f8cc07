// Authenticates forwarded requests between the daemons of a site.
//
// The entry daemon counts a request against the limits of its account, and the
// daemon that it forwards to does not count it again. Without a proof, a caller
// could claim that its request was forwarded and bypass the limits.
#ifndef EELGRASSBRIDGE_DAEMON_FORWARD_PROOF_HPP
#define EELGRASSBRIDGE_DAEMON_FORWARD_PROOF_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassbridge::daemon {

/// @brief Returns "MINUTE-MAC": the Unix time in minutes and its HMAC-SHA256
/// with the secret key of the site.
std::string MakeForwardProof(std::string_view secret_key, std::int64_t now_ms);

/// @brief Returns whether the proof was made with that key and is at most two
/// minutes off `now_ms`. The clocks of two VMs may differ by a minute.
bool IsValidForwardProof(std::string_view secret_key,
                         std::string_view proof,
                         std::int64_t now_ms);

}  // namespace eelgrassbridge::daemon

#endif  // EELGRASSBRIDGE_DAEMON_FORWARD_PROOF_HPP
