// Library that sends the connections of one process to other ports, so that a
// link stand-in can stand between two regions while both of them know a daemon
// under the same address. Loaded with LD_PRELOAD; the routes are read from
// EELGRASSBRIDGE_STANDIN_ROUTES, "PORT:PORT" joined by commas, for 127.0.0.1.
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

using Routes = std::map<std::uint16_t, std::uint16_t>;

Routes ReadRoutes() {
  Routes routes;
  const char* text = std::getenv("EELGRASSBRIDGE_STANDIN_ROUTES");
  std::istringstream stream(text == nullptr ? "" : text);
  for (std::string pair; std::getline(stream, pair, ',');) {
    const auto colon = pair.find(':');
    if (colon != std::string::npos) {
      routes[static_cast<std::uint16_t>(std::atoi(pair.c_str()))] =
          static_cast<std::uint16_t>(std::atoi(pair.c_str() + colon + 1));
    }
  }
  return routes;
}

}  // namespace

extern "C" int connect(int descriptor,
                       const sockaddr* address,
                       socklen_t length) {
  using Connect = int (*)(int, const sockaddr*, socklen_t);
  static const auto next =
      reinterpret_cast<Connect>(::dlsym(RTLD_NEXT, "connect"));
  static const Routes routes = ReadRoutes();
  sockaddr_in changed{};
  if (address->sa_family != AF_INET || length != sizeof(changed)) {
    return next(descriptor, address, length);
  }
  std::memcpy(&changed, address, sizeof(changed));
  const auto route = routes.find(ntohs(changed.sin_port));
  if (changed.sin_addr.s_addr == htonl(INADDR_LOOPBACK) &&
      route != routes.end()) {
    changed.sin_port = htons(route->second);
  }
  return next(descriptor, reinterpret_cast<const sockaddr*>(&changed), length);
}
