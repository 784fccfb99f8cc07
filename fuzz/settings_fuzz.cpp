// No text may crash the settings reader, and every refusal has a reason.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "eelgrassbridge/settings/read_settings.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const auto read = eelgrassbridge::settings::ReadSettings(
      {reinterpret_cast<const char*>(data), size}, "input");
  if (!read && read.error().detail.empty()) {
    std::abort();
  }
  return 0;
}
