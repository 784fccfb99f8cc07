// Fuzzes the settings reader: no input may crash it, and each failure must have
// a reason.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "eelgrassbridge/settings/read_settings.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const auto settings = eelgrassbridge::settings::ReadSettings(
      {reinterpret_cast<const char*>(data), size}, "input");
  if (!settings && settings.error().detail.empty()) {
    std::abort();
  }
  return 0;
}
