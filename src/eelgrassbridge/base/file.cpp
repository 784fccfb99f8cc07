// Reads a file in one call.
#include "eelgrassbridge/base/file.hpp"

#include <spdlog/fmt/fmt.h>

#include <fstream>

namespace eelgrassbridge::base {

Result<std::string> ReadFile(const std::string& name, std::size_t max_bytes) {
  std::ifstream stream(name, std::ios::binary);
  if (!stream) {
    return Fail(ErrorKind::kNotFound,
                fmt::format("{}: the file cannot be opened", name));
  }
  // Reading one byte more than the limit detects a file that is too long, also
  // for pipes, which have no size.
  std::string text(max_bytes + 1, '\0');
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (stream.bad() || (stream.gcount() == 0 && !stream.eof())) {
    return Fail(ErrorKind::kNotFound,
                fmt::format("{}: the file cannot be read", name));
  }
  text.resize(static_cast<std::size_t>(stream.gcount()));
  if (text.size() > max_bytes) {
    return Fail(ErrorKind::kNotFound,
                fmt::format("{}: larger than the maximum of {} bytes", name,
                            max_bytes));
  }
  return text;
}

}  // namespace eelgrassbridge::base
