// One request to a server and its answer. A long body is streamed while the
// answer is read.
#include "eelgrassbridge/node/transmit.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <utility>

#include "eelgrassbridge/limits/answer_buffer.hpp"
#include "eelgrassbridge/node/link_share.hpp"

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;
using base::Outcome;

/// Bytes and number of answers to earlier requests that are discarded before
/// the connection is given up.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{256} * 1024;
constexpr int kMaxDiscardedAnswers = 8;
constexpr int kContinueStatus = 100;
constexpr int kFirstFinalStatus = 200;
/// Interim responses read before "100 Continue" or a final answer.
constexpr int kMaxInterimResponses = 16;
/// Longer bodies are sent to another daemon only once it accepts the request:
/// after a refusal their bytes would have been sent for nothing, over links
/// that all requests share.
constexpr std::size_t kMaxEagerBodyBytes = std::size_t{4} * 1024;

http::Framing FramingOf(const Message& message) {
  if (!message.has_body) {
    return {};
  }
  if (message.body_source == nullptr) {
    return {http::Framing::Kind::kLength, message.body.size()};
  }
  if (message.length) {
    return {http::Framing::Kind::kLength, *message.length};
  }
  return {http::Framing::Kind::kChunked, 0};
}

/// Whether the body is sent only once the server accepts the request.
bool AwaitsContinue(const Message& message, const Transmission& transmission) {
  return transmission.await_continue &&
         (message.body_source != nullptr ||
          message.body.size() > kMaxEagerBodyBytes);
}

void EndPump(BodyPump& pump) {
  pump.done = true;
  http::Notify(pump.ended);
}

/// Forwards the rest of a caller's body, which StartBodyPump has counted as an
/// unwritten part of the request, until the pump is stopped.
awaitable<void> PumpBody(std::shared_ptr<BodyPump> pump,
                         http::ClientConnectionPtr connection,
                         bool chunked) {
  http::BodyRead read = http::BodyRead::kMore;
  bool sent = true;
  std::string piece;
  while (read == http::BodyRead::kMore && sent && !pump->stopped) {
    piece.clear();
    read = co_await http::ReadBody(*pump->source, piece);
    const bool usable =
        read == http::BodyRead::kMore || read == http::BodyRead::kComplete;
    if (pump->stopped || piece.empty() || !usable) {
      continue;
    }
    if (chunked) {
      const std::string chunk = http::FormatChunk(piece);
      sent = co_await http::Send(*connection, chunk);
    } else {
      sent = co_await http::Send(*connection, piece);
    }
  }
  if (read == http::BodyRead::kComplete && sent && !pump->stopped) {
    if (chunked) {
      const std::string last = http::FormatChunk({});
      sent = co_await http::Send(*connection, last);
    }
    if (sent) {
      --connection->unwritten_parts;
    }
    pump->complete = sent;
  } else if (sent && !pump->stopped) {
    // The server must not mistake a truncated body for a complete one. After a
    // failed write there may still be an answer to read.
    http::Close(*connection);
  }
  EndPump(*pump);
}

/// Discards the rest of the body once `former` no longer reads it.
awaitable<void> DiscardBody(std::shared_ptr<BodyPump> former,
                            std::shared_ptr<BodyPump> pump) {
  while (!former->done) {
    co_await http::Wait(former->ended);
  }
  http::BodyRead read = http::BodyRead::kMore;
  std::string piece;
  while (read == http::BodyRead::kMore) {
    piece.clear();
    read = co_await http::ReadBody(*pump->source, piece);
  }
  EndPump(*pump);
}

/// Leaves the rest of a body that is still being streamed in its source.
void StopPump(RunResult& result) {
  if (result.pump && !result.pump->done) {
    result.pump->stopped = true;
    http::SuspendBodyRead(*result.pump->source);
  }
}

struct Answer {
  http::ResponseHead head;
  bool valid = false;
};

/// Reads and discards the body of an answer to an earlier request. Returns
/// false if it has no end, or none within `limit_bytes`.
awaitable<bool> DiscardAnswer(http::ClientConnection& connection,
                              std::size_t limit_bytes) {
  std::size_t size = 0;
  http::ResponseRead read = http::ResponseRead::kMore;
  while (read == http::ResponseRead::kMore && size <= limit_bytes) {
    read = co_await http::ReadResponseBody(connection);
    size += connection.parser.body.size();
    connection.parser.body.clear();
  }
  co_return read == http::ResponseRead::kComplete;
}

/// Reads the head of the answer to this request. Late answers to earlier
/// requests on the connection are read and discarded. An answer without a
/// request id is invalid.
awaitable<Answer> ReadMatchingHead(Node& node,
                                   http::ClientConnection& connection,
                                   const Transmission& transmission,
                                   bool no_body) {
  for (int discarded = 0; discarded <= kMaxDiscardedAnswers; ++discarded) {
    auto read = co_await http::ReadResponseHead(connection, no_body);
    if (!read) {
      co_return Answer{};
    }
    const std::string_view id =
        http::HeaderValue(read.value().headers, node.port.headers.request_id);
    if (id == transmission.request_id) {
      co_return Answer{std::move(read.value()), true};
    }
    if (id.empty()) {
      co_return Answer{};
    }
    Count(node, "late_answers_total");
    const bool ended = co_await DiscardAnswer(connection, kMaxDiscardedBytes);
    if (!ended) {
      co_return Answer{};
    }
  }
  co_return Answer{};
}

/// Sends the head and the buffered part of the body. A body that awaits "100
/// Continue" is left to SendAfterContinue.
awaitable<bool> SendMessage(http::ClientConnection& connection,
                            const Message& message,
                            const Transmission& transmission) {
  const http::Framing framing = FramingOf(message);
  http::Headers headers = transmission.headers;
  const bool expect_continue = AwaitsContinue(message, transmission);
  if (expect_continue) {
    headers.push_back({"Expect", "100-continue"});
  }
  const std::string head = http::FormatRequestHead(
      message.method, message.request_target, headers, framing);
  if (expect_continue) {
    co_return co_await http::Send(connection, head);
  }
  if (framing.kind == http::Framing::Kind::kChunked && !message.body.empty()) {
    const std::string chunk = http::FormatChunk(message.body);
    co_return co_await http::Send(connection, head, chunk);
  }
  co_return co_await http::Send(connection, head, message.body);
}

void StartBodyPump(Node& node,
                   RunResult& result,
                   const Message& message,
                   bool chunked) {
  result.pump = std::make_shared<BodyPump>(node.io, *message.body_source);
  ++result.connection->connection->unwritten_parts;
  asio::co_spawn(node.io,
                 PumpBody(result.pump, result.connection->connection, chunked),
                 asio::detached);
}

/// Reads "100 Continue" or the head of the final answer. Other interim
/// responses are skipped: none of them is an answer.
awaitable<base::Result<http::ResponseHead>> ReadContinue(
    http::ClientConnection& connection) {
  for (int i = 0; i < kMaxInterimResponses; ++i) {
    auto read = co_await http::ReadResponseHead(connection, false, true);
    if (!read || read.value().status == kContinueStatus ||
        read.value().status >= kFirstFinalStatus) {
      co_return read;
    }
  }
  co_return base::Fail(ErrorKind::kAnswerCut, "too many interim responses");
}

/// Waits for "100 Continue", sends the buffered part of the body and starts to
/// stream the rest. If the server sends a final answer instead, its head is put
/// into `early`.
awaitable<bool> SendAfterContinue(Node& node,
                                  RunResult& result,
                                  const Message& message,
                                  Answer& early,
                                  bool chunked) {
  http::ClientConnection& connection = *result.connection->connection;
  auto read = co_await ReadContinue(connection);
  if (!read) {
    co_return false;
  }
  if (read.value().status != kContinueStatus) {
    early = {std::move(read.value()), true};
    co_return true;
  }
  bool sent = true;
  if (chunked) {
    const std::string chunk = http::FormatChunk(message.body);
    sent = co_await http::Send(connection, chunk);
  } else {
    sent = co_await http::Send(connection, message.body);
  }
  if (sent && message.body_source != nullptr) {
    StartBodyPump(node, result, message, chunked);
  }
  co_return sent;
}

/// Whether the connection may carry another request. A faulty target may write
/// a refusal once more, and a retry of the same request on this connection
/// would take the copy for its own answer.
bool IsReusable(const Node& node, const RunResult& result) {
  const bool refused_by_target =
      result.pool == &node.targets &&
      NotRunProof::FromTarget(result.head, node.port.headers).has_value();
  const bool body_sent = !result.pump || result.pump->complete;
  return body_sent && !refused_by_target;
}

/// Stops a body that is still being streamed, and returns the connection to its
/// pool or closes it if the answer is complete.
void ReleaseIfComplete(const Node& node, RunResult& result) {
  const bool reusable = IsReusable(node, result);
  StopPump(result);
  if (result.body_complete && reusable) {
    http::Release(*result.pool, *result.connection, result.head);
  } else if (result.body_complete) {
    // If the answer came before the end of the body, the server may still wait
    // for the rest, and would read the next request as part of it.
    http::Close(*result.connection);
  }
}

/// Ends the transmission of a cancelled request. Unless its caller has left, an
/// answer that has arrived by now is still read.
void AbortTransmission(http::CallConnection& connection,
                       const Cancellation& cancellation) {
  if (cancellation.cause == ErrorKind::kCancelled) {
    http::Close(connection);
  } else {
    http::Expire(connection);
  }
}

/// Closes the connection and returns the result of a request that was sent but
/// got no complete answer.
RunResult FailedResult(RunResult& result,
                       const Cancellation& cancellation,
                       ErrorKind cause) {
  http::Close(*result.connection);
  StopPump(result);
  RunResult failed = UnknownResult(cancellation.cause.value_or(cause));
  failed.pump = result.pump;
  return failed;
}

}  // namespace

awaitable<RunResult> Transmit(Node& node,
                              const Message& message,
                              Transmission transmission,
                              CancellationPointer cancellation) {
  if (cancellation->cause) {
    co_return NotRunResult(*cancellation->cause, NotRunProof::NeverSent());
  }
  auto acquired =
      co_await http::Acquire(*transmission.pool, transmission.endpoint);
  if (!acquired) {
    co_return NotRunResult(acquired.error().kind, NotRunProof::NeverSent());
  }
  RunResult result;
  result.pool = transmission.pool;
  result.connection = std::move(acquired.value());
  auto refusal = cancellation->cause;
  if (!refusal && transmission.before_send) {
    refusal = transmission.before_send();
  }
  if (refusal) {
    http::Close(*result.connection);
    co_return NotRunResult(*refusal, NotRunProof::NeverSent());
  }
  cancellation->abort = [connection = result.connection,
                         cancelled = cancellation.get()] {
    AbortTransmission(*connection, *cancelled);
  };
  http::ClientConnection& connection = *result.connection->connection;
  const bool chunked = FramingOf(message).kind == http::Framing::Kind::kChunked;
  const bool no_body = message.method == "HEAD";
  Answer answer;
  bool sent = co_await SendMessage(connection, message, transmission);
  if (sent && AwaitsContinue(message, transmission)) {
    sent = co_await SendAfterContinue(node, result, message, answer, chunked);
  } else if (sent && message.body_source != nullptr) {
    StartBodyPump(node, result, message, chunked);
  }
  // A server that answers before it has read the body may have stopped reading,
  // so a failed write does not mean that there is no answer.
  if (!answer.valid && (sent || message.has_body)) {
    answer = co_await ReadMatchingHead(node, connection, transmission, no_body);
  }
  if (!answer.valid) {
    cancellation->abort = nullptr;
    co_return FailedResult(result, *cancellation, ErrorKind::kAnswerCut);
  }
  result.outcome = Outcome::kAnswered;
  result.head = std::move(answer.head);
  http::ResponseRead read = http::ResponseRead::kMore;
  while (read == http::ResponseRead::kMore &&
         result.body.size() <=
             limits::MaxHeldAnswerBytes(node.open_requests.size())) {
    read = co_await http::ReadResponseBody(connection);
    result.body += connection.parser.body;
    connection.parser.body.clear();
  }
  if (read == http::ResponseRead::kTruncated) {
    cancellation->abort = nullptr;
    co_return FailedResult(result, *cancellation, ErrorKind::kAnswerCut);
  }
  result.body_complete = read == http::ResponseRead::kComplete;
  if (result.body_complete) {
    cancellation->abort = nullptr;
  }
  ReleaseIfComplete(node, result);
  co_return result;
}

awaitable<bool> ReadMoreBody(const Node& node, RunResult& result) {
  http::ClientConnection& connection = *result.connection->connection;
  const http::ResponseRead read = co_await http::ReadResponseBody(connection);
  result.body += connection.parser.body;
  connection.parser.body.clear();
  if (read == http::ResponseRead::kTruncated) {
    http::Close(*result.connection);
    co_return false;
  }
  if (read == http::ResponseRead::kComplete) {
    result.body_complete = true;
    ReleaseIfComplete(node, result);
  }
  co_return true;
}

awaitable<void> AwaitBodyPump(RunResult& result) {
  while (result.pump && !result.pump->done) {
    co_await http::Wait(result.pump->ended);
  }
}

void DiscardRestOfBody(Node& node, RunResult& result) {
  if (!result.pump || result.pump->complete) {
    return;
  }
  auto former = std::exchange(
      result.pump, std::make_shared<BodyPump>(node.io, *result.pump->source));
  asio::co_spawn(node.io, DiscardBody(std::move(former), result.pump),
                 asio::detached);
}

awaitable<bool> RelayAnswer(const Node& node,
                            http::Exchange& exchange,
                            http::Headers headers,
                            RunResult& result) {
  if (result.body_complete && !result.link) {
    co_return co_await http::Respond(exchange, result.head.status,
                                     std::move(headers), result.body);
  }
  const auto length =
      result.body_complete ? result.body.size() : result.head.length;
  bool ok = co_await http::StartResponse(exchange, result.head.status,
                                         std::move(headers), length);
  while (ok) {
    if (result.link) {
      ok = co_await WriteAtLinkPace(*result.link, exchange, result.body);
    } else {
      ok = co_await http::WriteBody(exchange, result.body);
    }
    result.body.clear();
    if (!ok || result.body_complete) {
      break;
    }
    ok = co_await ReadMoreBody(node, result);
  }
  if (!ok) {
    // The answer is left without its end, so it cannot look complete to the
    // caller.
    http::Close(*result.connection);
    http::Abort(exchange);
    co_return false;
  }
  if (result.link) {
    LearnWrittenSize(*result.link);
  }
  co_return co_await http::FinishResponse(exchange);
}

}  // namespace eelgrassbridge::node
