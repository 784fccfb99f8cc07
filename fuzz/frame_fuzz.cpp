// Fuzzes the frame decoder: no input may crash it, and each accepted frame can
// be encoded again.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "eelgrassbridge/wire/codec.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const auto envelope = eelgrassbridge::wire::Decode(
      {reinterpret_cast<const char*>(data), size}, "astillas");
  if (envelope && !eelgrassbridge::wire::Encode(envelope.value())) {
    std::abort();
  }
  return 0;
}
