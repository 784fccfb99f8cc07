// Parses a node's settings from YAML.
#include "eelgrassbridge/node/settings.hpp"

#include <spdlog/fmt/fmt.h>
#include <yaml-cpp/yaml.h>

#include "eelgrassbridge/base/file.hpp"
#include "eelgrassbridge/base/problem.hpp"
#include "eelgrassbridge/http/endpoint.hpp"

namespace eelgrassbridge::node {

namespace {

constexpr std::size_t kMaxFileBytes = std::size_t{1} << 20U;

struct Reader {
  const YAML::Node& root;
  base::Problems problems;
};

int LineOf(const YAML::Node& value) {
  return value.IsDefined() ? value.Mark().line + 1 : 0;
}

void ReadText(Reader& reader, const char* name, std::string& value) {
  const YAML::Node found = reader.root[name];
  if (!found.IsDefined() || !found.IsScalar() || found.Scalar().empty()) {
    base::AddProblem(reader.problems, LineOf(found), name,
                     "a non-empty string is required");
    return;
  }
  value = found.Scalar();
}

void ReadAddress(Reader& reader, const char* name, std::string& value) {
  ReadText(reader, name, value);
  if (!value.empty() && !http::ParseEndpoint(value)) {
    base::AddProblem(
        reader.problems, LineOf(reader.root[name]), name,
        fmt::format("'{}' is not an address of the form IP:PORT", value));
  }
}

template <typename T>
void ReadOptional(Reader& reader, const char* name, T& value) {
  const YAML::Node found = reader.root[name];
  if (!found.IsDefined() || found.IsNull()) {
    return;
  }
  try {
    value = found.as<T>();
  } catch (const YAML::Exception&) {
    base::AddProblem(reader.problems, LineOf(found), name,
                     "the value has the wrong type");
  }
}

void ReadSeconds(Reader& reader, const char* name, base::Duration& value) {
  double seconds = std::chrono::duration<double>(value).count();
  ReadOptional(reader, name, seconds);
  if (seconds <= 0) {
    base::AddProblem(reader.problems, LineOf(reader.root[name]), name,
                     "a number of seconds above 0 is required");
    return;
  }
  value = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

void ReadNotNegative(Reader& reader, const char* name, double& value) {
  ReadOptional(reader, name, value);
  if (!(value >= 0)) {
    base::AddProblem(reader.problems, LineOf(reader.root[name]), name,
                     "a number of at least 0 is required");
  }
}

void ReadBounds(Reader& reader, Bounds& bounds) {
  ReadSeconds(reader, "grace_seconds", bounds.grace);
  ReadOptional(reader, "retry_ratio", bounds.retry_ratio);
  ReadOptional(reader, "retry_extra", bounds.retry_extra);
  ReadSeconds(reader, "retry_window_seconds", bounds.retry_window);
  ReadSeconds(reader, "change_in_force_seconds", bounds.change_in_force);
  ReadSeconds(reader, "longest_hold_seconds", bounds.max_hold);
  ReadSeconds(reader, "quota_window_seconds", bounds.quota_window);
  ReadNotNegative(reader, "quota_overage", bounds.quota_overage);
  ReadNotNegative(reader, "quota_tolerance", bounds.quota_tolerance);
}

void ReadOptionalAddress(Reader& reader, const char* name, std::string& value) {
  if (reader.root[name].IsDefined()) {
    ReadAddress(reader, name, value);
  }
}

void ReadRegions(Reader& reader, NodeSettings& settings) {
  const YAML::Node regions = reader.root["data_centres"];
  if (!regions.IsMap()) {
    base::AddProblem(reader.problems, LineOf(regions), "data_centres",
                     "a map from data centre to region is required");
    return;
  }
  for (const auto& entry : regions) {
    settings.regions[entry.first.as<std::string>()] =
        entry.second.as<std::string>();
  }
}

void ReadLearnedCapacity(Reader& reader, LearnedCapacityMode& mode) {
  constexpr const char* kName = "learned_capacity";
  std::string text = "off";
  ReadOptional(reader, kName, text);
  if (text == "off") {
    mode = LearnedCapacityMode::kOff;
  } else if (text == "on") {
    mode = LearnedCapacityMode::kOn;
  } else if (text == "auto") {
    mode = LearnedCapacityMode::kAuto;
  } else {
    base::AddProblem(reader.problems, LineOf(reader.root[kName]), kName,
                     fmt::format("'{}' is not off, on or auto", text));
  }
}

NodeSettings ReadAll(Reader& reader) {
  NodeSettings settings;
  ReadText(reader, "name", settings.name);
  ReadText(reader, "data_centre", settings.data_centre);
  ReadText(reader, "region", settings.region);
  ReadRegions(reader, settings);
  ReadAddress(reader, "callers", settings.callers);
  ReadAddress(reader, "peers", settings.peers);
  ReadOptionalAddress(reader, "peers_listen", settings.peers_listen);
  ReadAddress(reader, "readiness", settings.readiness);
  ReadAddress(reader, "reports", settings.reports);
  ReadAddress(reader, "target_address", settings.target_address);
  ReadText(reader, "service", settings.service);
  ReadAddress(reader, "store_address", settings.store_address);
  ReadOptional(reader, "max_descriptors", settings.max_descriptors);
  ReadOptional(reader, "link_mbps", settings.link_mbps);
  ReadLearnedCapacity(reader, settings.learned_capacity);
  ReadOptional(reader, "first_start", settings.first_start);
  ReadBounds(reader, settings.bounds);
  return settings;
}

}  // namespace

base::Result<NodeSettings> ReadNodeSettings(std::string_view file_name,
                                            std::string_view text) {
  try {
    const YAML::Node root = YAML::Load(std::string(text));
    if (!root.IsMap()) {
      return base::Fail(
          base::ErrorKind::kSettingsInvalid,
          fmt::format("{}: the top level is not a map", file_name));
    }
    Reader reader{root, {}};
    reader.problems.file = file_name;
    NodeSettings settings = ReadAll(reader);
    if (reader.problems.count > 0) {
      return base::Fail(base::ErrorKind::kSettingsInvalid,
                        base::ToString(reader.problems));
    }
    return settings;
  } catch (const YAML::Exception& error) {
    return base::Fail(base::ErrorKind::kSettingsInvalid,
                      fmt::format("{}: {}", file_name, error.what()));
  }
}

base::Result<NodeSettings> ReadNodeSettingsFile(const std::string& file_name) {
  auto text = base::ReadFile(file_name, kMaxFileBytes);
  if (!text) {
    return base::Fail(base::ErrorKind::kSettingsInvalid, text.error().detail);
  }
  return ReadNodeSettings(file_name, text.value());
}

std::string_view RegionOf(const NodeSettings& settings,
                          std::string_view data_centre) {
  const auto found = settings.regions.find(data_centre);
  return found == settings.regions.end() ? std::string_view{}
                                         : std::string_view{found->second};
}

}  // namespace eelgrassbridge::node
