// A bounded YAML document with the line of every node.
//
// The tree is filled from yaml-cpp's parser events and not from YAML::Node:
// the events allow the bounds to be checked before memory is taken, they keep
// duplicate keys visible, and a look-up does not depend on node merging.
#ifndef EELGRASSBRIDGE_BASE_YAML_DOCUMENT_HPP
#define EELGRASSBRIDGE_BASE_YAML_DOCUMENT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/problem.hpp"

namespace eelgrassbridge::base {

/// @brief Bounds on a document; a document beyond one of them is refused.
struct YamlLimits {
  std::size_t max_bytes = std::size_t{1024} * 1024;
  std::size_t max_nodes = 50'000;
  std::size_t max_depth = 16;
};

/// @brief One value of a document.
struct YamlNode {
  enum class Kind : std::uint8_t { kNull, kScalar, kSequence, kMap };
  Kind kind = Kind::kNull;
  /// Line in the file, counted from 1.
  int line = 1;
  std::string scalar = {};
  /// Names of the members of a map, with the lines of the names.
  std::vector<std::string> names = {};
  std::vector<int> name_lines = {};
  /// Items of a sequence, or values of a map in the order of names.
  std::vector<YamlNode> items = {};
};

/// @brief Parses the one document of a text. Anchors, aliases and tags are
/// refused: aliases allow a small text to stand for a huge document, and tags
/// change the meaning of values. On a failure the problem is appended and the
/// returned node is null.
YamlNode ParseYaml(std::string_view text,
                   const YamlLimits& limits,
                   Problems& problems);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_YAML_DOCUMENT_HPP
