// Configures CURVE on sockets and implements the ZAP handler.
#include "curve.hpp"

#include <zmq_addon.hpp>

#include <array>
#include <iterator>
#include <vector>

namespace eelgrassbridge::wire::detail {

namespace {

constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kKeyTextLength = 40;
constexpr const char* kZapEndpoint = "inproc://zeromq.zap.01";
constexpr const char* kZapDomain = "eelgrassbridge";
/// Frames of a ZAP request: version, request id, domain, address, identity,
/// mechanism, and the client's key in the case of CURVE.
constexpr std::size_t kZapCurveFrames = 7;

/// Returns the bytes of a key, or an empty string if the text is invalid.
std::string DecodeKey(const std::string& text) {
  if (text.size() != kKeyTextLength) {
    return {};
  }
  std::array<std::uint8_t, kKeyBytes> bytes{};
  if (zmq_z85_decode(bytes.data(), text.c_str()) == nullptr) {
    return {};
  }
  return {bytes.begin(), bytes.end()};
}

bool IsAccepted(const ZapHandler& handler,
                const std::vector<zmq::message_t>& request) {
  return request.size() == kZapCurveFrames &&
         request[5].to_string_view() == "CURVE" &&
         handler.accepted.contains(request[6].to_string_view());
}

void SendZapReply(ZapHandler& handler,
                  std::string_view request_id,
                  bool accepted) {
  const std::array<std::string_view, 6> frames = {
      "1.0",
      request_id,
      accepted ? "200" : "400",
      accepted ? "OK" : "unknown key",
      accepted ? "daemon" : "",
      ""};
  for (std::size_t at = 0; at < frames.size(); ++at) {
    const auto flag = at + 1 < frames.size() ? zmq::send_flags::sndmore
                                             : zmq::send_flags::none;
    handler.socket.send(zmq::buffer(frames.at(at)), flag);
  }
}

}  // namespace

bool AreValidKeys(const CurveKeys& keys) {
  for (const std::string& key : keys.accepted_public_keys) {
    if (DecodeKey(key).empty()) {
      return false;
    }
  }
  return !DecodeKey(keys.public_key).empty() &&
         !DecodeKey(keys.secret_key).empty();
}

void ConfigureCurveServer(zmq::socket_t& socket, const CurveKeys& keys) {
  socket.set(zmq::sockopt::zap_domain, kZapDomain);
  socket.set(zmq::sockopt::curve_server, true);
  socket.set(zmq::sockopt::curve_publickey, keys.public_key);
  socket.set(zmq::sockopt::curve_secretkey, keys.secret_key);
}

void ConfigureCurveClient(zmq::socket_t& socket,
                          const CurveKeys& keys,
                          const std::string& server_key) {
  socket.set(zmq::sockopt::curve_serverkey, server_key);
  socket.set(zmq::sockopt::curve_publickey, keys.public_key);
  socket.set(zmq::sockopt::curve_secretkey, keys.secret_key);
}

ZapHandler OpenZapHandler(zmq::context_t& context, const CurveKeys& keys) {
  ZapHandler handler{zmq::socket_t(context, zmq::socket_type::rep), {}};
  handler.socket.set(zmq::sockopt::linger, 0);
  handler.socket.bind(kZapEndpoint);
  handler.accepted.insert(DecodeKey(keys.public_key));
  for (const std::string& key : keys.accepted_public_keys) {
    handler.accepted.insert(DecodeKey(key));
  }
  return handler;
}

void HandleZapRequests(ZapHandler& handler, base::Counter& rejected) {
  for (;;) {
    std::vector<zmq::message_t> request;
    if (!zmq::recv_multipart(handler.socket, std::back_inserter(request),
                             zmq::recv_flags::dontwait)) {
      return;
    }
    const bool accepted = IsAccepted(handler, request);
    if (!accepted) {
      rejected.fetch_add(1, std::memory_order_relaxed);
    }
    SendZapReply(
        handler,
        request.size() > 1 ? request[1].to_string_view() : std::string_view{},
        accepted);
  }
}

}  // namespace eelgrassbridge::wire::detail
