// Encoding and decoding of frames.
#include "eelgrassbridge/wire/codec.hpp"

#include <google/protobuf/stubs/logging.h>

#include "conversion.hpp"

namespace eelgrassbridge::wire {

namespace {

auto Invalid(std::string detail) {
  return base::Fail(base::ErrorKind::kFrameInvalid, std::move(detail));
}

/// Disables protobuf's logging, so that a sender of malformed frames cannot
/// flood the log. Such frames are counted instead.
void DisableProtobufLog() {
  static google::protobuf::LogHandler* const previous =
      google::protobuf::SetLogHandler(nullptr);
  (void)previous;
}

}  // namespace

base::Result<std::string> Encode(const Envelope& envelope) {
  pb::Envelope message;
  message.set_protocol_version(kProtocolVersion);
  message.set_site(envelope.site);
  message.set_sender(envelope.sender.value);
  message.set_sequence(envelope.sequence);
  message.set_receiver(envelope.receiver.value);
  detail::WriteBody(envelope.message, message);
  const std::size_t size = message.ByteSizeLong();
  if (size > kMaxFrameBytes) {
    return Invalid("frame is too large: " + std::to_string(size) + " bytes");
  }
  return message.SerializeAsString();
}

base::Result<Envelope> Decode(std::string_view frame, std::string_view site) {
  if (frame.size() > kMaxFrameBytes) {
    return Invalid("frame is too large: " + std::to_string(frame.size()) +
                   " bytes");
  }
  DisableProtobufLog();
  pb::Envelope message;
  if (!message.ParseFromArray(frame.data(), static_cast<int>(frame.size()))) {
    return Invalid("malformed envelope");
  }
  if (message.protocol_version() != kProtocolVersion) {
    return Invalid("unsupported protocol version " +
                   std::to_string(message.protocol_version()));
  }
  if (message.site() != site) {
    return Invalid("frame of another site");
  }
  if (message.sender() == 0 || message.sequence() == 0) {
    return Invalid("sender or sequence is missing");
  }
  BOOST_OUTCOME_TRY(body, detail::ReadBody(message));
  return Envelope{message.site(), base::DaemonId{message.sender()},
                  message.sequence(), base::DaemonId{message.receiver()},
                  std::move(body)};
}

}  // namespace eelgrassbridge::wire
