// The row in which a daemon tells the others which requests its target ran when
// it crashed, and which such requests were answered later.
#ifndef EELGRASSBRIDGE_NODE_CRASH_RECORD_HPP
#define EELGRASSBRIDGE_NODE_CRASH_RECORD_HPP

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/routing/crash_suspects.hpp"

namespace eelgrassbridge::node {

/// @brief A run of a request: one during which its target crashed, or, if
/// `answered` is set, one that refutes earlier crashes.
struct CrashRecord {
  routing::Fingerprint request;
  routing::TargetCrash crash;
  bool answered = false;

  bool operator==(const CrashRecord&) const = default;
};

std::string EncodeCrashes(std::span<const CrashRecord> crashes);
/// @brief Fails with kFrameInvalid if the text is not what EncodeCrashes
/// writes.
base::Result<std::vector<CrashRecord>> DecodeCrashes(std::string_view text);

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_CRASH_RECORD_HPP
