// Paths of files of the repository that tests read.
#ifndef EELGRASSBRIDGE_CMAKE_SOURCE_PATH_HPP
#define EELGRASSBRIDGE_CMAKE_SOURCE_PATH_HPP

#include <string>
#include <string_view>

namespace eelgrassbridge::test {

/// @brief Returns the absolute path of a file or folder of the repository.
std::string SourcePath(std::string_view relative = {});

}  // namespace eelgrassbridge::test

#endif  // EELGRASSBRIDGE_CMAKE_SOURCE_PATH_HPP
