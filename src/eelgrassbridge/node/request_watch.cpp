// Cancels requests with their connections, and receives their bodies.
#include "eelgrassbridge/node/request_watch.hpp"

namespace eelgrassbridge::node {

using asio::awaitable;
using base::ErrorKind;

namespace {

/// Cancels the request. An answer that is being relayed is broken off, because
/// a caller that does not read it would hold the slot of the target as long as
/// it stays.
void EndAtDeadline(RequestWatch& watch) {
  const bool answer_incomplete =
      watch.cancellation->abort != nullptr && watch.exchange.response_started;
  Cancel(*watch.cancellation, ErrorKind::kTargetTimeout);
  if (answer_incomplete) {
    http::Abort(watch.exchange);
  }
}

}  // namespace

RequestWatch::RequestWatch(Node& owner,
                           http::Exchange& watched,
                           base::TimePoint deadline)
    : node(owner),
      cancellation(std::make_shared<Cancellation>()),
      alarm(owner.io),
      exchange(watched) {
  this->node.open_requests.insert(this);
  http::SetDisconnectCallback(watched, [pointer = this->cancellation] {
    Cancel(*pointer, ErrorKind::kCancelled);
  });
  http::Arm(this->alarm, deadline - base::BootClock::now(),
            [this] { EndAtDeadline(*this); });
}

RequestWatch::~RequestWatch() {
  this->node.open_requests.erase(this);
  http::SetDisconnectCallback(this->exchange, nullptr);
}

awaitable<base::Result<void>> ReceiveBody(http::Exchange& exchange,
                                          Message& message,
                                          std::size_t limit_bytes) {
  message.has_body = exchange.head.has_body;
  message.length = exchange.head.length;
  if (!message.has_body) {
    co_return base::outcome::success();
  }
  http::BodyRead read = http::BodyRead::kMore;
  while (read == http::BodyRead::kMore && message.body.size() < limit_bytes) {
    read = co_await http::ReadBody(exchange, message.body);
  }
  switch (read) {
    case http::BodyRead::kComplete:
      co_return base::outcome::success();
    case http::BodyRead::kMore:
      message.body_source = &exchange;
      co_return base::outcome::success();
    case http::BodyRead::kTooLarge:
      co_return base::Fail(ErrorKind::kBodyTooLarge, {});
    case http::BodyRead::kCallerDisconnected:
      co_return base::Fail(ErrorKind::kCancelled, {});
    case http::BodyRead::kInterrupted:
      co_return base::Fail(ErrorKind::kDraining, {});
    case http::BodyRead::kInvalid:
      break;
  }
  co_return base::Fail(ErrorKind::kBadRequest, "malformed request body");
}

awaitable<base::Result<void>> ReceiveBody(http::Exchange& exchange,
                                          Message& message,
                                          std::size_t limit_bytes,
                                          Cancellation& cancellation) {
  cancellation.abort = [&exchange] { http::InterruptBody(exchange); };
  auto received = co_await ReceiveBody(exchange, message, limit_bytes);
  cancellation.abort = nullptr;
  if (!received && received.error().kind == ErrorKind::kDraining) {
    co_return base::Fail(cancellation.cause.value_or(ErrorKind::kDraining), {});
  }
  co_return received;
}

}  // namespace eelgrassbridge::node
