// Ports for the listeners of tests that must know a port before they bind it.
#ifndef EELGRASSBRIDGE_CMAKE_TEST_PORTS_HPP
#define EELGRASSBRIDGE_CMAKE_TEST_PORTS_HPP

#include <cstdint>

namespace eelgrassbridge::test {

/// Ports of the tests. They lie below those that the kernel gives to outgoing
/// connections (from 32768), which could otherwise take a port between its
/// choice and the start of its listener.
constexpr std::uint16_t kFirstTestPort = 10000;
constexpr std::uint16_t kLastTestPort = 31999;
constexpr std::uint16_t kPortsInBlock = 500;

/// @brief A range of ports that no other block has, in this process or in
/// another one, as long as the object lives.
///
/// A socket that listens on the port before the range claims it, so that the
/// kernel decides between processes and frees the range of one that has ended.
struct PortBlock {
  PortBlock();
  ~PortBlock();
  PortBlock(const PortBlock&) = delete;
  PortBlock& operator=(const PortBlock&) = delete;

  std::uint16_t first = 0;
  std::uint16_t last = 0;
  int claim = -1;
};

/// @brief Returns the block of this process, claimed by the first call.
const PortBlock& ProcessPorts();

}  // namespace eelgrassbridge::test

#endif  // EELGRASSBRIDGE_CMAKE_TEST_PORTS_HPP
