// Checked reading of the fields of a YAML map.
//
// Each Read function looks up one field, checks it and writes the value; a
// field that is absent keeps the value's default unless it is required. Every
// problem is collected, so one pass reports all of them.
#ifndef EELGRASSBRIDGE_BASE_YAML_FIELDS_HPP
#define EELGRASSBRIDGE_BASE_YAML_FIELDS_HPP

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/base/yaml_document.hpp"

namespace eelgrassbridge::base {

enum class Presence : std::uint8_t { kOptional, kRequired };

/// @brief A map that is being read. Invariant: known_fields holds each field
/// that a Read function asked for, and is the list of accepted fields.
struct YamlMap {
  const YamlNode* node = nullptr;
  std::string path;
  Problems* problems = nullptr;
  std::vector<std::string_view> known_fields;
};

template <typename T>
struct Bounds {
  T lowest;
  T highest;
};

/// @brief Begins a map; reports a node of another kind and duplicate fields.
/// Names passed to the Read functions must outlive the map.
YamlMap OpenMap(const YamlNode& node, std::string path, Problems& problems);

/// @brief Reports the fields that no Read function asked for.
void FinishMap(const YamlMap& map);

/// @brief The value of a field, or null when absent. Reports an absent field
/// that is required.
const YamlNode* FindField(YamlMap& map,
                          std::string_view name,
                          Presence presence = Presence::kOptional);

/// @brief Path of a field of the map.
std::string FieldPath(const YamlMap& map, std::string_view name);

/// @brief Parsers of single values; none when the text is not accepted.
std::optional<Duration> ParseDuration(std::string_view text);
std::optional<std::uint64_t> ParseByteSize(std::string_view text);
/// @brief "99.9%" as parts per million, with at most four decimals.
std::optional<std::uint32_t> ParsePercent(std::string_view text);
/// @brief "2027-01-31T00:00:00Z" as Unix seconds.
std::optional<std::int64_t> ParseUtcTime(std::string_view text);
/// @brief Lower-case letters, digits and '-', 1 to 63 characters, beginning
/// with a letter or digit. Names are parts of table keys and group ids, where
/// '/' and '+' separate.
bool IsValidName(std::string_view text);

std::string FormatDuration(Duration duration);

void ReadString(YamlMap& map,
                std::string_view name,
                std::string& value,
                Presence presence = Presence::kOptional);
void ReadName(YamlMap& map, std::string_view name, std::string& value);
void ReadBool(YamlMap& map, std::string_view name, bool& value);
void ReadDuration(YamlMap& map,
                  std::string_view name,
                  Duration& value,
                  Bounds<Duration> bounds);
void ReadByteSize(YamlMap& map,
                  std::string_view name,
                  std::uint64_t& value,
                  Bounds<std::uint64_t> bounds);
void ReadPercent(YamlMap& map, std::string_view name, std::uint32_t& value);
void ReadNumber(YamlMap& map,
                std::string_view name,
                double& value,
                Bounds<double> bounds);
void ReadInteger(YamlMap& map,
                 std::string_view name,
                 std::uint32_t& value,
                 Bounds<std::uint32_t> bounds);

/// @brief Index of the word in the list of accepted words; the previous value
/// when absent or wrong.
std::size_t ReadEnum(YamlMap& map,
                     std::string_view name,
                     std::span<const std::string_view> accepted,
                     std::size_t previous,
                     Presence presence = Presence::kOptional);

/// @brief Calls a function for each item of a sequence field with the item's
/// path.
void ReadSequence(
    YamlMap& map,
    std::string_view name,
    Presence presence,
    const std::function<void(const YamlNode&, const std::string&)>& read_item);

/// @brief A sequence of words, each checked by a function that returns what is
/// accepted when a word is not, or nothing.
void ReadStrings(
    YamlMap& map,
    std::string_view name,
    std::vector<std::string>& values,
    Presence presence = Presence::kOptional,
    const std::function<std::string(std::string_view)>& check = {});

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_YAML_FIELDS_HPP
