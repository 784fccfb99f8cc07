// What the stand-ins share: a configured HTTP server and an append-only log.
#ifndef EELGRASSBRIDGE_STANDINS_SERVE_HPP
#define EELGRASSBRIDGE_STANDINS_SERVE_HPP

#include <httplib.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrassbridge::standins {

struct ServeOptions {
  std::string ip = "127.0.0.1";
  int port = 0;
  /// Connections served at once: the HTTP library gives each connection to
  /// one worker until it closes.
  std::size_t workers = 64;
};

/// @brief The HTTP library's server with a longer queue of new connections:
/// its own of 5 drops some of a burst, which then wait 1 s for the retransmit.
struct StandinServer : httplib::Server {
  void RaiseBacklog();
};

/// @brief Serves until SIGTERM or SIGINT, which end the process at once.
/// Returns only if the address cannot be bound.
int Serve(StandinServer& server, const ServeOptions& options);

/// @brief Answers with the headers of a longer body and closes the connection,
/// so that the client sees a lost reply.
void LoseReply(httplib::Response& response);

/// @brief A file to which whole lines are appended by any thread.
struct LineLog {
  int descriptor = -1;
};

/// @brief Opens the file; an empty path gives a log that drops its lines.
LineLog OpenLineLog(const std::string& path);

/// @brief Appends the line with one write call, so lines never interleave and
/// are in the file even if the process is killed right afterwards.
void AppendLine(const LineLog& log, std::string_view line);

/// @brief CLOCK_REALTIME in microseconds.
std::int64_t UnixMicroseconds();

}  // namespace eelgrassbridge::standins

#endif  // EELGRASSBRIDGE_STANDINS_SERVE_HPP
