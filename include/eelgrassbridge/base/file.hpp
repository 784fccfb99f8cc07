// Reads files up to a maximum size.
#ifndef EELGRASSBRIDGE_BASE_FILE_HPP
#define EELGRASSBRIDGE_BASE_FILE_HPP

#include <cstddef>
#include <string>

#include "eelgrassbridge/base/error.hpp"

namespace eelgrassbridge::base {

/// @brief Returns the content of a file; fails with kNotFound if it can't be
/// read or is longer than `max_bytes`.
Result<std::string> ReadFile(const std::string& name, std::size_t max_bytes);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_FILE_HPP
