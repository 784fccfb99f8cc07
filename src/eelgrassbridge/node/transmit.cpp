// One exchange with a server, with the body streamed beside the answer.
#include "eelgrassbridge/node/transmit.hpp"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace eelgrassbridge::node {

namespace {

using asio::awaitable;
using base::ErrorKind;
using base::Outcome;

/// Answers up to this size are read whole before they are passed on, so that
/// one that is cut can still be replaced.
constexpr std::size_t kMaxWholeAnswer = std::size_t{128} * 1024;
constexpr int kContinueStatus = 100;
/// Longer bodies are sent to another daemon only when it takes the request: a
/// refusal would cost their bytes on links that all requests share.
constexpr std::size_t kMostEagerBody = std::size_t{4} * 1024;

http::Framing FramingOf(const Message& message) {
  if (!message.has_body) {
    return {};
  }
  if (message.rest == nullptr) {
    return {http::Framing::Kind::kLength, message.body.size()};
  }
  if (message.length) {
    return {http::Framing::Kind::kLength, *message.length};
  }
  return {http::Framing::Kind::kChunked, 0};
}

/// Whether the body waits until the server takes the request.
bool AwaitsContinue(const Message& message, const Transmission& transmission) {
  return transmission.await_continue &&
         (message.rest != nullptr || message.body.size() > kMostEagerBody);
}

/// Passes the rest of a caller's body on. Once the server has answered, the
/// rest is only read, so that the caller's connection stays usable.
awaitable<void> PumpBody(std::shared_ptr<BodyPump> pump,
                         http::Exchange* exchange,
                         http::ClientPointer connection,
                         bool chunked) {
  http::BodyRead read = http::BodyRead::kMore;
  bool sent = true;
  std::string piece;
  while (read == http::BodyRead::kMore) {
    piece.clear();
    read = co_await http::ReadBody(*exchange, piece);
    const bool usable =
        read == http::BodyRead::kMore || read == http::BodyRead::kComplete;
    if (pump->discard || !sent || piece.empty() || !usable) {
      continue;
    }
    if (chunked) {
      const std::string chunk = http::ChunkText(piece);
      sent = co_await http::Send(*connection, chunk);
    } else {
      sent = co_await http::Send(*connection, piece);
    }
  }
  if (read == http::BodyRead::kComplete && sent && !pump->discard) {
    if (chunked) {
      const std::string last = http::ChunkText({});
      sent = co_await http::Send(*connection, last);
    }
    pump->complete = sent;
  } else if (!pump->discard) {
    // The server must not take a cut body for a whole one.
    http::Close(*connection);
  }
  pump->done = true;
  http::Notify(pump->ended);
}

struct Answer {
  http::ResponseHead head;
  bool valid = false;
};

/// Reads the head of the answer that belongs to the request. A late answer to
/// an earlier request is read and dropped.
awaitable<Answer> ReadOwnHead(Node& node,
                              http::ClientConnection& connection,
                              const Transmission& transmission,
                              bool no_body) {
  while (true) {
    auto read = co_await http::ReadResponseHead(connection, no_body);
    if (!read) {
      co_return Answer{};
    }
    const std::string_view id =
        http::ValueOf(read.value().headers, node.port.headers.request_id);
    if (id == transmission.request_id) {
      co_return Answer{std::move(read.value()), true};
    }
    if (id.empty()) {
      co_return Answer{};
    }
    Count(node, "late_answers_total");
    http::ResponseRead rest = http::ResponseRead::kMore;
    while (rest == http::ResponseRead::kMore) {
      rest = co_await http::ReadResponseBody(connection);
      connection.parser.body.clear();
    }
    if (rest == http::ResponseRead::kCut) {
      co_return Answer{};
    }
  }
}

/// Sends the head and what is there of the body. With await_continue, a long
/// body waits until the server takes it; an early answer is left unread.
awaitable<bool> SendMessage(http::ClientConnection& connection,
                            const Message& message,
                            const Transmission& transmission) {
  const http::Framing framing = FramingOf(message);
  http::Headers headers = transmission.headers;
  const bool expect = AwaitsContinue(message, transmission);
  if (expect) {
    headers.push_back({"Expect", "100-continue"});
  }
  const std::string head =
      http::RequestText(message.method, message.target, headers, framing);
  if (expect) {
    co_return co_await http::Send(connection, head);
  }
  if (framing.kind == http::Framing::Kind::kChunked && !message.body.empty()) {
    const std::string chunk = http::ChunkText(message.body);
    co_return co_await http::Send(connection, head, chunk);
  }
  co_return co_await http::Send(connection, head, message.body);
}

void StartPump(Node& node,
               RunResult& result,
               const Message& message,
               bool chunked) {
  result.pump = std::make_shared<BodyPump>(node.io);
  asio::co_spawn(
      node.io, PumpBody(result.pump, message.rest, result.connection, chunked),
      asio::detached);
}

/// Waits for "100 Continue" and sends the kept part of the body. The first
/// final answer is put into `early` instead, if that comes.
awaitable<bool> SendAfterContinue(Node& node,
                                  RunResult& result,
                                  const Message& message,
                                  Answer& early,
                                  bool chunked) {
  http::ClientConnection& connection = *result.connection;
  auto read = co_await http::ReadResponseHead(connection, false, true);
  if (!read) {
    co_return false;
  }
  if (read.value().status != kContinueStatus) {
    early = {std::move(read.value()), true};
    co_return true;
  }
  bool sent = true;
  if (chunked) {
    const std::string chunk = http::ChunkText(message.body);
    sent = co_await http::Send(connection, chunk);
  } else {
    sent = co_await http::Send(connection, message.body);
  }
  if (sent && message.rest != nullptr) {
    StartPump(node, result, message, chunked);
  }
  co_return sent;
}

void Settle(RunResult& result) {
  const bool sent_whole = !result.pump || result.pump->complete;
  if (result.pump && !result.pump->done) {
    result.pump->discard = true;
  }
  if (result.body_complete && sent_whole) {
    http::Release(*result.pool, result.connection, result.head);
  } else if (result.body_complete) {
    // An answer that came before the end of the body: the server may still
    // wait for the rest, and must not take another request for it.
    http::Close(*result.connection);
  }
}

RunResult Failed(RunResult& result,
                 const Cancellation& cancellation,
                 ErrorKind cause) {
  http::Close(*result.connection);
  if (result.pump) {
    result.pump->discard = true;
  }
  RunResult failed = Unknown(cancellation.cause.value_or(cause));
  failed.pump = result.pump;
  return failed;
}

}  // namespace

awaitable<RunResult> Transmit(Node& node,
                              const Message& message,
                              Transmission transmission,
                              CancellationPointer cancellation) {
  if (cancellation->cause) {
    co_return NotRun(*cancellation->cause, NotRunProof::NeverSent());
  }
  auto acquired =
      co_await http::Acquire(*transmission.pool, transmission.endpoint);
  if (!acquired) {
    co_return NotRun(acquired.error().kind, NotRunProof::NeverSent());
  }
  RunResult result;
  result.pool = transmission.pool;
  result.connection = std::move(acquired.value());
  if (cancellation->cause) {
    http::Close(*result.connection);
    co_return NotRun(*cancellation->cause, NotRunProof::NeverSent());
  }
  cancellation->abort = [connection = result.connection] {
    http::Close(*connection);
  };
  const bool chunked = FramingOf(message).kind == http::Framing::Kind::kChunked;
  const bool no_body = message.method == "HEAD";
  Answer answer;
  bool sent = co_await SendMessage(*result.connection, message, transmission);
  if (sent && AwaitsContinue(message, transmission)) {
    sent = co_await SendAfterContinue(node, result, message, answer, chunked);
  } else if (sent && message.rest != nullptr) {
    StartPump(node, result, message, chunked);
  }
  // A server that answers before it has read the body may have stopped reading,
  // so a failed write does not mean that there is no answer.
  if (!answer.valid && (sent || message.has_body)) {
    answer =
        co_await ReadOwnHead(node, *result.connection, transmission, no_body);
  }
  if (!answer.valid) {
    cancellation->abort = nullptr;
    co_return Failed(result, *cancellation, ErrorKind::kAnswerCut);
  }
  result.outcome = Outcome::kAnswered;
  result.head = std::move(answer.head);
  http::ResponseRead read = http::ResponseRead::kMore;
  while (read == http::ResponseRead::kMore &&
         result.body.size() <= kMaxWholeAnswer) {
    read = co_await http::ReadResponseBody(*result.connection);
    result.body += result.connection->parser.body;
    result.connection->parser.body.clear();
  }
  if (read == http::ResponseRead::kCut) {
    cancellation->abort = nullptr;
    co_return Failed(result, *cancellation, ErrorKind::kAnswerCut);
  }
  result.body_complete = read == http::ResponseRead::kComplete;
  if (result.body_complete) {
    cancellation->abort = nullptr;
  }
  Settle(result);
  co_return result;
}

awaitable<bool> ReadRest(RunResult& result) {
  const http::ResponseRead read =
      co_await http::ReadResponseBody(*result.connection);
  result.body += result.connection->parser.body;
  result.connection->parser.body.clear();
  if (read == http::ResponseRead::kCut) {
    http::Close(*result.connection);
    co_return false;
  }
  if (read == http::ResponseRead::kComplete) {
    result.body_complete = true;
    Settle(result);
  }
  co_return true;
}

awaitable<void> AwaitPump(RunResult& result) {
  while (result.pump && !result.pump->done) {
    co_await http::Wait(result.pump->ended);
  }
}

awaitable<bool> RelayAnswer(http::Exchange& exchange,
                            http::Headers headers,
                            RunResult& result) {
  if (result.body_complete) {
    co_return co_await http::Respond(exchange, result.head.status,
                                     std::move(headers), result.body);
  }
  bool good = co_await http::StartResponse(
      exchange, result.head.status, std::move(headers), result.head.length);
  while (good) {
    good = co_await http::WriteBody(exchange, result.body);
    result.body.clear();
    if (!good || result.body_complete) {
      break;
    }
    good = co_await ReadRest(result);
  }
  if (!good) {
    // Without its end the answer cannot look complete to the caller.
    http::Close(*result.connection);
    http::Abort(exchange);
    co_return false;
  }
  co_return co_await http::FinishResponse(exchange);
}

}  // namespace eelgrassbridge::node
