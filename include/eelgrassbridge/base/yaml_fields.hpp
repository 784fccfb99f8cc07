// Reads and validates the fields of a YAML map.
//
// Each Read function looks up one field, validates it and stores the value. If
// an optional field is absent, the value is left unchanged. Problems are
// collected, so that one pass reports all of them.
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

/// @brief A map that is being read. Invariant: `known_fields` contains each
/// field that a Read function has looked up.
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

/// @brief Starts reading a map; reports duplicate fields, and a node that is
/// not a map. Names passed to the Read functions must outlive the map.
YamlMap OpenMap(const YamlNode& node, std::string path, Problems& problems);

/// @brief Reports the fields that no Read function has looked up as unknown.
void FinishMap(const YamlMap& map);

/// @brief Returns the value of a field, or null if it is absent. Reports a
/// required field that is absent.
const YamlNode* FindField(YamlMap& map,
                          std::string_view name,
                          Presence presence = Presence::kOptional);

/// @brief Returns the path of a field in the document.
std::string FieldPath(const YamlMap& map, std::string_view name);

/// @brief Parses an integer with a unit, e.g. "500ms". This and the functions
/// below return nothing if the text is invalid.
std::optional<Duration> ParseDuration(std::string_view text);
/// @brief Parses an integer with a unit, e.g. "16MiB".
std::optional<std::uint64_t> ParseByteSize(std::string_view text);
/// @brief Parses a percentage with at most four decimals, e.g. "99.9%", to
/// parts per million.
std::optional<std::uint32_t> ParsePercent(std::string_view text);
/// @brief Parses e.g. "2027-01-31T00:00:00Z" to Unix seconds.
std::optional<std::int64_t> ParseUtcTime(std::string_view text);
/// @brief Returns whether the text is 1 to 63 lower-case letters, digits and
/// '-' and starts with a letter or digit. Names are used in table keys and
/// group ids, so they must not contain the separators '/' and '+'.
bool IsValidName(std::string_view text);

/// @brief Formats a duration in the largest unit that gives an integer.
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

/// @brief Returns the index of the field's value in `values`, or `previous`
/// if the field is absent or invalid.
std::size_t ReadEnum(YamlMap& map,
                     std::string_view name,
                     std::span<const std::string_view> values,
                     std::size_t previous,
                     Presence presence = Presence::kOptional);

/// @brief Calls `read_item` with each item of a sequence field and the path of
/// the item.
void ReadSequence(
    YamlMap& map,
    std::string_view name,
    Presence presence,
    const std::function<void(const YamlNode&, const std::string&)>& read_item);

/// @brief Reads a sequence of scalars. `check` returns a description of the
/// valid values if it is given an invalid one, otherwise an empty string;
/// invalid values are reported and left out.
void ReadStrings(
    YamlMap& map,
    std::string_view name,
    std::vector<std::string>& values,
    Presence presence = Presence::kOptional,
    const std::function<std::string(std::string_view)>& check = {});

}  // namespace eelgrassbridge::base

#endif  // EELGRASSBRIDGE_BASE_YAML_FIELDS_HPP
