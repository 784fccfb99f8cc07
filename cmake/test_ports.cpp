// Claims ranges of ports for tests.
#include "test_ports.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <thread>

namespace eelgrassbridge::test {
namespace {

/// @brief Returns a socket that listens on the port, or -1 if another one does.
int Claim(std::uint16_t port) {
  const int claim = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  // Without SO_REUSEADDR, bind alone excludes other sockets.
  if (::bind(claim, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) == 0 &&
      ::listen(claim, 1) == 0) {
    return claim;
  }
  ::close(claim);
  return -1;
}

}  // namespace

PortBlock::PortBlock() {
  constexpr int kBlocks = (kLastTestPort + 1 - kFirstTestPort) / kPortsInBlock;
  constexpr int kRounds = 600;
  for (int round = 0; round < kRounds; ++round) {
    for (int i = 0; i < kBlocks; ++i) {
      // Processes start at different blocks, so that one rarely gets the ports
      // of a process that has just ended.
      const int block = (::getpid() + i) % kBlocks;
      const auto begin =
          static_cast<std::uint16_t>(kFirstTestPort + block * kPortsInBlock);
      this->claim = Claim(begin);
      if (this->claim >= 0) {
        this->first = begin + 1;
        this->last = begin + kPortsInBlock - 1;
        return;
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
  }
  throw std::runtime_error("all ranges of test ports are in use");
}

PortBlock::~PortBlock() {
  ::close(this->claim);
}

const PortBlock& ProcessPorts() {
  static const PortBlock block;
  return block;
}

}  // namespace eelgrassbridge::test
