// HTTP server and append-only line log shared by the stand-ins.
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
  /// Threads, and so the limit on concurrent connections: the HTTP library
  /// dedicates a thread to each connection until it closes.
  std::size_t workers = 64;
};

/// @brief HTTP server with a longer listen backlog. The library's backlog of 5
/// drops connections of a burst, which then wait 1 s for the SYN
/// retransmission.
struct StandinServer : httplib::Server {
  void RaiseBacklog();
};

/// @brief Serves until SIGTERM or SIGINT ends the process. Returns 1 if the
/// address cannot be bound.
int Serve(StandinServer& server, const ServeOptions& options);

/// @brief Sends response headers without the announced body and closes the
/// connection, so that the client gets no reply.
void LoseReply(httplib::Response& response);

/// @brief A file to which any thread can append lines.
struct LineLog {
  int descriptor = -1;
};

/// @brief Opens the file. With an empty path, appended lines are discarded.
LineLog OpenLineLog(const std::string& path);

/// @brief Appends the line with a single write(), so that lines never
/// interleave and are in the file even if the process is killed right
/// afterwards.
void AppendLine(const LineLog& log, std::string_view line);

/// @brief CLOCK_REALTIME in microseconds.
std::int64_t UnixMicroseconds();

}  // namespace eelgrassbridge::standins

#endif  // EELGRASSBRIDGE_STANDINS_SERVE_HPP
