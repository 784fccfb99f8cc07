// Field look-up, checks and error messages.
#include "eelgrassbridge/base/yaml_fields.hpp"

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace eelgrassbridge::base {

namespace {

/// Longest part of a wrong value that is quoted in a message.
constexpr std::size_t kMaxQuoted = 60;

std::string Quote(std::string_view text) {
  if (text.size() <= kMaxQuoted) {
    return fmt::format("'{}'", text);
  }
  return fmt::format("'{}...'", text.substr(0, kMaxQuoted));
}

/// The scalar of a field; reports a field that is a list or a map.
const YamlNode* FindScalar(YamlMap& map,
                           std::string_view name,
                           Presence presence,
                           std::string_view accepted) {
  const YamlNode* node = FindField(map, name, presence);
  if (node == nullptr) {
    return nullptr;
  }
  if (node->kind != YamlNode::Kind::kScalar) {
    AddProblem(*map.problems, node->line, FieldPath(map, name),
               fmt::format("accepted is {}", accepted));
    return nullptr;
  }
  return node;
}

void AddWrongValue(const YamlMap& map,
                   const YamlNode& node,
                   std::string_view name,
                   std::string_view accepted) {
  AddProblem(*map.problems, node.line, FieldPath(map, name),
             fmt::format("{} is not accepted; accepted is {}",
                         Quote(node.scalar), accepted));
}

/// Reads a field through a parser and checks its bounds.
template <typename T, typename Parser>
void ReadParsed(YamlMap& map,
                std::string_view name,
                T& value,
                Bounds<T> bounds,
                const std::string& accepted,
                const Parser& parse) {
  const YamlNode* node = FindScalar(map, name, Presence::kOptional, accepted);
  if (node == nullptr) {
    return;
  }
  const auto parsed = parse(node->scalar);
  if (!parsed || *parsed < bounds.lowest || *parsed > bounds.highest) {
    AddWrongValue(map, *node, name, accepted);
    return;
  }
  value = *parsed;
}

template <typename T>
std::optional<T> ParseWhole(std::string_view text) {
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
               "accepted is a map of fields (name: value)");
    return map;
  }
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < node.names.size(); ++i) {
    if (!seen.insert(node.names[i]).second) {
      AddProblem(problems, node.name_lines[i], FieldPath(map, node.names[i]),
                 "the field is given twice");
    }
  }
  return map;
}

void FinishMap(const YamlMap& map) {
  if (map.node->kind != YamlNode::Kind::kMap) {
    return;
  }
  for (std::size_t i = 0; i < map.node->names.size(); ++i) {
    const std::string& name = map.node->names[i];
    if (std::ranges::find(map.known_fields, name) == map.known_fields.end()) {
      AddProblem(*map.problems, map.node->name_lines[i], map.path,
                 fmt::format("unknown field {}; accepted are {}", Quote(name),
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
  const auto found = std::ranges::find(map.node->names, name);
  if (found == map.node->names.end()) {
    if (presence == Presence::kRequired) {
      AddProblem(*map.problems, map.node->line, FieldPath(map, name),
                 "the field is missing");
    }
    return nullptr;
  }
  const auto at =
      static_cast<std::size_t>(std::distance(map.node->names.begin(), found));
  map.problems->lines.emplace(FieldPath(map, name), map.node->name_lines[at]);
  return &map.node->items[at];
}

std::string FieldPath(const YamlMap& map, std::string_view name) {
  return map.path.empty() ? std::string(name)
                          : fmt::format("{}.{}", map.path, name);
}

void ReadString(YamlMap& map,
                std::string_view name,
                std::string& value,
                Presence presence) {
  const YamlNode* node = FindScalar(map, name, presence, "a text");
  if (node != nullptr) {
    if (node->scalar.empty()) {
      AddWrongValue(map, *node, name, "a text that is not empty");
    }
    value = node->scalar;
  }
}

void ReadName(YamlMap& map, std::string_view name, std::string& value) {
  constexpr std::string_view kAccepted =
      "a name of 1 to 63 lower-case letters, digits and '-', beginning with a "
      "letter or digit";
  const YamlNode* node = FindScalar(map, name, Presence::kRequired, kAccepted);
  if (node == nullptr) {
    return;
  }
  if (!IsValidName(node->scalar)) {
    AddWrongValue(map, *node, name, kAccepted);
  }
  value = node->scalar;
}

void ReadBool(YamlMap& map, std::string_view name, bool& value) {
  constexpr std::string_view kWords[] = {"false", "true"};
  value = ReadEnum(map, name, kWords, value ? 1 : 0) == 1;
}

void ReadDuration(YamlMap& map,
                  std::string_view name,
                  Duration& value,
                  Bounds<Duration> bounds) {
  ReadParsed(map, name, value, bounds,
             fmt::format("a duration from {} to {} with its unit (us, ms, s, "
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
             fmt::format("a size from {} to {} bytes with its unit (B, KiB, "
                         "MiB, GiB), e.g. 16MiB",
                         bounds.lowest, bounds.highest),
             ParseByteSize);
}

void ReadPercent(YamlMap& map, std::string_view name, std::uint32_t& value) {
  ReadParsed<std::uint32_t>(map, name, value, {0, 1'000'000},
                            "a share from 0% to 100% with at most four "
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
      ParseWhole<double>);
}

void ReadInteger(YamlMap& map,
                 std::string_view name,
                 std::uint32_t& value,
                 Bounds<std::uint32_t> bounds) {
  ReadParsed(map, name, value, bounds,
             fmt::format("a whole number from {} to {}", bounds.lowest,
                         bounds.highest),
             ParseWhole<std::uint32_t>);
}

std::size_t ReadEnum(YamlMap& map,
                     std::string_view name,
                     std::span<const std::string_view> accepted,
                     std::size_t previous,
                     Presence presence) {
  const std::string words = fmt::format("{}", fmt::join(accepted, " or "));
  const YamlNode* node = FindScalar(map, name, presence, words);
  if (node == nullptr) {
    return previous;
  }
  const auto found = std::ranges::find(accepted, node->scalar);
  if (found == accepted.end()) {
    AddWrongValue(map, *node, name, words);
    return previous;
  }
  return static_cast<std::size_t>(std::distance(accepted.begin(), found));
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
               "accepted is a list");
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
          AddProblem(*map.problems, item.line, path, "accepted is a word");
          return;
        }
        const std::string accepted = check ? check(item.scalar) : "";
        if (!accepted.empty()) {
          AddProblem(*map.problems, item.line, path,
                     fmt::format("{} is not accepted; accepted is {}",
                                 Quote(item.scalar), accepted));
          return;
        }
        values.push_back(item.scalar);
      });
}

}  // namespace eelgrassbridge::base
