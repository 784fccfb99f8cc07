// Conversion between the plain structs and the generated protobuf messages.
// Internal to this part.
#ifndef EELGRASSBRIDGE_WIRE_CONVERSION_HPP
#define EELGRASSBRIDGE_WIRE_CONVERSION_HPP

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/wire/message.hpp"
#include "peer.pb.h"

namespace eelgrassbridge::wire::detail {

/// @brief Sets the body of an envelope.
void WriteBody(const Message& message, pb::Envelope& envelope);

/// @brief Converts and validates the body of an envelope. Fails with
/// kFrameInvalid.
base::Result<Message> ReadBody(const pb::Envelope& envelope);

}  // namespace eelgrassbridge::wire::detail

#endif  // EELGRASSBRIDGE_WIRE_CONVERSION_HPP
