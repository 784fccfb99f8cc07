// Looks up fields, validates them and reports problems.
#include "eelgrassbridge/base/yaml_fields.hpp"

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace eelgrassbridge::base {

namespace {

/// Longer values are truncated to this number of bytes in a message.
constexpr std::size_t kMaxQuotedBytes = 60;

std::string Quote(std::string_view text) {
  if (text.size() <= kMaxQuotedBytes) {
    return fmt::format("'{}'", text);
  }
  return fmt::format("'{}...'", text.substr(0, kMaxQuotedBytes));
}

/// Returns a scalar field, or null if it is absent. Reports a field of another
/// kind.
const YamlNode* FindScalar(YamlMap& map,
                           std::string_view name,
                           Presence presence,
                           std::string_view expected) {
  const YamlNode* node = FindField(map, name, presence);
  if (node == nullptr) {
    return nullptr;
  }
  if (node->kind != YamlNode::Kind::kScalar) {
    AddProblem(*map.problems, node->line, FieldPath(map, name),
               fmt::format("expected {}", expected));
    return nullptr;
  }
  return node;
}

void AddInvalidValue(const YamlMap& map,
                     const YamlNode& node,
                     std::string_view name,
                     std::string_view expected) {
  AddProblem(
      *map.problems, node.line, FieldPath(map, name),
      fmt::format("{} is invalid; expected {}", Quote(node.scalar), expected));
}

/// Parses a field with `parse` and checks the bounds.
template <typename T, typename Parser>
void ReadParsed(YamlMap& map,
                std::string_view name,
                T& value,
                Bounds<T> bounds,
                const std::string& expected,
                const Parser& parse) {
  const YamlNode* node = FindScalar(map, name, Presence::kOptional, expected);
  if (node == nullptr) {
    return;
  }
  const auto parsed = parse(node->scalar);
  if (!parsed || *parsed < bounds.lowest || *parsed > bounds.highest) {
    AddInvalidValue(map, *node, name, expected);
    return;
  }
  value = *parsed;
}

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T value{};
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

YamlMap OpenMap(const YamlNode& node, std::string path, Problems& problems) {
  YamlMap map{&node, std::move(path), &problems, {}};
  if (!map.path.empty()) {
    problems.lines.emplace(map.path, node.line);
  }
  if (node.kind != YamlNode::Kind::kMap) {
    AddProblem(problems, node.line, map.path,
               "expected a map of fields (name: value)");
    return map;
  }
  std::set<std::string_view> keys;
  for (std::size_t i = 0; i < node.keys.size(); ++i) {
    if (!keys.insert(node.keys[i]).second) {
      AddProblem(problems, node.key_lines[i], FieldPath(map, node.keys[i]),
                 "duplicate field");
    }
  }
  return map;
}

void FinishMap(const YamlMap& map) {
  if (map.node->kind != YamlNode::Kind::kMap) {
    return;
  }
  for (std::size_t i = 0; i < map.node->keys.size(); ++i) {
    const std::string& name = map.node->keys[i];
    if (std::ranges::find(map.known_fields, name) == map.known_fields.end()) {
      AddProblem(*map.problems, map.node->key_lines[i], map.path,
                 fmt::format("unknown field {}; known fields: {}", Quote(name),
                             fmt::join(map.known_fields, ", ")));
    }
  }
}

const YamlNode* FindField(YamlMap& map,
                          std::string_view name,
                          Presence presence) {
  map.known_fields.push_back(name);
  if (map.node->kind != YamlNode::Kind::kMap) {
    return nullptr;
  }
  const auto found = std::ranges::find(map.node->keys, name);
  if (found == map.node->keys.end()) {
    if (presence == Presence::kRequired) {
      AddProblem(*map.problems, map.node->line, FieldPath(map, name),
                 "required field is missing");
    }
    return nullptr;
  }
  const auto index =
      static_cast<std::size_t>(std::distance(map.node->keys.begin(), found));
  map.problems->lines.emplace(FieldPath(map, name), map.node->key_lines[index]);
  return &map.node->items[index];
}

std::string FieldPath(const YamlMap& map, std::string_view name) {
  return map.path.empty() ? std::string(name)
                          : fmt::format("{}.{}", map.path, name);
}

void ReadString(YamlMap& map,
                std::string_view name,
                std::string& value,
                Presence presence) {
  const YamlNode* node = FindScalar(map, name, presence, "a string");
  if (node != nullptr) {
    if (node->scalar.empty()) {
      AddInvalidValue(map, *node, name, "a non-empty string");
    }
    value = node->scalar;
  }
}

void ReadName(YamlMap& map, std::string_view name, std::string& value) {
  constexpr std::string_view kExpected =
      "a name of 1 to 63 lower-case letters, digits and '-', beginning with a "
      "letter or digit";
  const YamlNode* node = FindScalar(map, name, Presence::kRequired, kExpected);
  if (node == nullptr) {
    return;
  }
  if (!IsValidName(node->scalar)) {
    AddInvalidValue(map, *node, name, kExpected);
  }
  value = node->scalar;
}

void ReadBool(YamlMap& map, std::string_view name, bool& value) {
  constexpr std::string_view kValues[] = {"false", "true"};
  value = ReadEnum(map, name, kValues, value ? 1 : 0) == 1;
}

void ReadDuration(YamlMap& map,
                  std::string_view name,
                  Duration& value,
                  Bounds<Duration> bounds) {
  ReadParsed(map, name, value, bounds,
             fmt::format("a duration from {} to {} with a unit (us, ms, s, "
                         "min, h), e.g. 500ms",
                         FormatDuration(bounds.lowest),
                         FormatDuration(bounds.highest)),
             ParseDuration);
}

void ReadByteSize(YamlMap& map,
                  std::string_view name,
                  std::uint64_t& value,
                  Bounds<std::uint64_t> bounds) {
  ReadParsed(map, name, value, bounds,
             fmt::format("a size from {} to {} bytes with a unit (B, KiB, "
                         "MiB, GiB), e.g. 16MiB",
                         bounds.lowest, bounds.highest),
             ParseByteSize);
}

void ReadPercent(YamlMap& map, std::string_view name, std::uint32_t& value) {
  ReadParsed<std::uint32_t>(map, name, value, {0, 1'000'000},
                            "a percentage from 0% to 100% with at most four "
                            "decimals, e.g. 99.95%",
                            ParsePercent);
}

void ReadNumber(YamlMap& map,
                std::string_view name,
                double& value,
                Bounds<double> bounds) {
  ReadParsed(
      map, name, value, bounds,
      fmt::format("a number from {} to {}", bounds.lowest, bounds.highest),
      ParseNumber<double>);
}

void ReadInteger(YamlMap& map,
                 std::string_view name,
                 std::uint32_t& value,
                 Bounds<std::uint32_t> bounds) {
  ReadParsed(
      map, name, value, bounds,
      fmt::format("an integer from {} to {}", bounds.lowest, bounds.highest),
      ParseNumber<std::uint32_t>);
}

std::size_t ReadEnum(YamlMap& map,
                     std::string_view name,
                     std::span<const std::string_view> values,
                     std::size_t previous,
                     Presence presence) {
  const std::string expected = fmt::format("{}", fmt::join(values, " or "));
  const YamlNode* node = FindScalar(map, name, presence, expected);
  if (node == nullptr) {
    return previous;
  }
  const auto found = std::ranges::find(values, node->scalar);
  if (found == values.end()) {
    AddInvalidValue(map, *node, name, expected);
    return previous;
  }
  return static_cast<std::size_t>(std::distance(values.begin(), found));
}

void ReadSequence(
    YamlMap& map,
    std::string_view name,
    Presence presence,
    const std::function<void(const YamlNode&, const std::string&)>& read_item) {
  const YamlNode* node = FindField(map, name, presence);
  if (node == nullptr) {
    return;
  }
  if (node->kind != YamlNode::Kind::kSequence) {
    AddProblem(*map.problems, node->line, FieldPath(map, name),
               "expected a list");
    return;
  }
  for (std::size_t i = 0; i < node->items.size(); ++i) {
    const std::string path = fmt::format("{}[{}]", FieldPath(map, name), i);
    map.problems->lines.emplace(path, node->items[i].line);
    read_item(node->items[i], path);
  }
}

void ReadStrings(YamlMap& map,
                 std::string_view name,
                 std::vector<std::string>& values,
                 Presence presence,
                 const std::function<std::string(std::string_view)>& check) {
  ReadSequence(
      map, name, presence, [&](const YamlNode& item, const std::string& path) {
        if (item.kind != YamlNode::Kind::kScalar) {
          AddProblem(*map.problems, item.line, path, "expected a scalar");
          return;
        }
        const std::string expected = check ? check(item.scalar) : "";
        if (!expected.empty()) {
          AddProblem(*map.problems, item.line, path,
                     fmt::format("{} is invalid; expected {}",
                                 Quote(item.scalar), expected));
          return;
        }
        values.push_back(item.scalar);
      });
}

}  // namespace eelgrassbridge::base
