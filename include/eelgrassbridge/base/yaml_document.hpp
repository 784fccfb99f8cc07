// YAML document tree with size limits and the line of every node.
//
// Built from yaml-cpp's parser events instead of YAML::Node: with events, the
// limits are checked before memory is allocated, duplicate keys are visible,
// and a lookup doesn't depend on how yaml-cpp merges nodes.
#ifndef EELGRASSBRIDGE_BASE_YAML_DOCUMENT_HPP
#define EELGRASSBRIDGE_BASE_YAML_DOCUMENT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/problem.hpp"

namespace eelgrassbridge::base {

/// @brief Limits on a document; one that exceeds a limit is rejected.
struct YamlLimits {
  std::size_t max_bytes = std::size_t{1024} * 1024;
  std::size_t max_nodes = 50'000;
  std::size_t max_depth = 16;
};

struct YamlNode {
  enum class Kind : std::uint8_t { kNull, kScalar, kSequence, kMap };
  Kind kind = Kind::kNull;
  /// Line in the file, counted from 1.
  int line = 1;
  std::string scalar = {};
  /// Keys of a map, with their lines.
  std::vector<std::string> keys = {};
  std::vector<int> key_lines = {};
  /// Items of a sequence, or values of a map in the order of `keys`.
  std::vector<YamlNode> items = {};
};

/// @brief Parses a text that contains exactly one document. Anchors, aliases
/// and tags are rejected: aliases let a small text expand to a huge document,
/// and tags change the meaning of values. On failure, adds the problem and
/// returns a null node.
YamlNode ParseYaml(std::string_view text,
                   const YamlLimits& limits,
                   Problems& problems);

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_YAML_DOCUMENT_HPP
