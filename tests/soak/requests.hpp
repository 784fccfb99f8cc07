// Requests of the load: how they are made, recorded and checked.
#ifndef EELGRASSBRIDGE_TESTS_SOAK_REQUESTS_HPP
#define EELGRASSBRIDGE_TESTS_SOAK_REQUESTS_HPP

#include <array>
#include <string>
#include <string_view>

#include "callers.hpp"
#include "checker.hpp"
#include "eelgrassbridge/http/client.hpp"

namespace eelgrassbridge::soak {

/// Longer than the deadline of a request, so that a late answer is received.
inline constexpr std::chrono::milliseconds kResponseTimeout{3000};

struct Kind {
  std::string_view method;
  std::string_view path;
  std::string_view service;
  bool idempotent;
  bool has_key;
  std::size_t body_bytes;
};

inline constexpr std::size_t kUploadBytes = std::size_t{150} * 1024;
inline constexpr std::array kKinds = {
    Kind{"GET", "/keys/x", "keys", true, true, 0},
    Kind{"GET", "/keys/x", "keys", true, true, 0},
    Kind{"GET", "/read/x", "desk", true, false, 0},
    Kind{"POST", "/write/x", "desk", false, false, 800},
    Kind{"POST", "/upload/x", "desk", false, false, kUploadBytes}};

struct Answer {
  int status = 0;
  http::Headers headers;
  std::string body;
};

/// @brief A request to the daemon of a VM, and its process at that time.
struct OpenRequest {
  std::string id;
  http::BufferedRequest message;
  std::uint64_t generation = 0;
};

/// @brief Makes a request with a random key and records it.
OpenRequest BeginRequest(Callers& callers, const Vm& vm, const Kind& kind);

/// @brief Records that the last part of the request is being sent.
void MarkSent(Checker& checker, const OpenRequest& request);

/// @brief Records the end of the request and checks its answer.
void EndRequest(Checker& checker,
                const Vm& vm,
                const OpenRequest& request,
                const Answer& answer);

}  // namespace eelgrassbridge::soak

#endif  // EELGRASSBRIDGE_TESTS_SOAK_REQUESTS_HPP
