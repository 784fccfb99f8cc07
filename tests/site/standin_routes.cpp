// LD_PRELOAD library that redirects the connections of a process to other
// ports, so that traffic between two regions passes through a link stand-in
// although both regions know a daemon by the same address. Reads the
// redirections from EELGRASSBRIDGE_STANDIN_ROUTES: comma-separated "PORT:PORT"
// pairs for 127.0.0.1.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <map>
#include <sstream>
#include <string>

namespace {

using Redirections = std::map<std::uint16_t, std::uint16_t>;

Redirections ReadRedirections() {
  Redirections redirections;
  const char* text = std::getenv("EELGRASSBRIDGE_STANDIN_ROUTES");
  std::istringstream stream(text == nullptr ? "" : text);
  for (std::string pair; std::getline(stream, pair, ',');) {
    const auto colon = pair.find(':');
    if (colon != std::string::npos) {
      redirections[static_cast<std::uint16_t>(std::atoi(pair.c_str()))] =
          static_cast<std::uint16_t>(std::atoi(pair.c_str() + colon + 1));
    }
  }
  return redirections;
}

}  // namespace

extern "C" int connect(int descriptor,
                       const sockaddr* address,
                       socklen_t length) {
  using Connect = int (*)(int, const sockaddr*, socklen_t);
  static const auto next =
      reinterpret_cast<Connect>(::dlsym(RTLD_NEXT, "connect"));
  static const Redirections redirections = ReadRedirections();
  sockaddr_in changed{};
  if (address->sa_family != AF_INET || length != sizeof(changed)) {
    return next(descriptor, address, length);
  }
  std::memcpy(&changed, address, sizeof(changed));
  const auto redirection = redirections.find(ntohs(changed.sin_port));
  if (changed.sin_addr.s_addr == htonl(INADDR_LOOPBACK) &&
      redirection != redirections.end()) {
    changed.sin_port = htons(redirection->second);
  }
  return next(descriptor, reinterpret_cast<const sockaddr*>(&changed), length);
}
