// Bounded reading of files.
#ifndef EELGRASSBRIDGE_BASE_FILE_HPP
#define EELGRASSBRIDGE_BASE_FILE_HPP

#include <cstddef>
#include <string>

#include "eelgrassbridge/base/error.hpp"

namespace eelgrassbridge::base {

/// @brief The content of a file; an error (kNotFound) when it cannot be read
/// or has more than max_bytes bytes.
Result<std::string> ReadFile(const std::string& name, std::size_t max_bytes);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_FILE_HPP
