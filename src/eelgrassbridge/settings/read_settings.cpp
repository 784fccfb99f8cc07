// Maps YAML fields to the settings and validates combinations of fields.
#include "eelgrassbridge/settings/read_settings.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>

#include "eelgrassbridge/base/file.hpp"
#include "eelgrassbridge/base/yaml_fields.hpp"

namespace eelgrassbridge::settings {

namespace {

using base::AddProblem;
using base::Duration;
using base::FieldPath;
using base::milliseconds;
using base::Presence;
using base::Problems;
using base::seconds;
using base::YamlMap;
using base::YamlNode;

constexpr base::YamlLimits kLimits{std::size_t{256} * 1024, 5'000, 8};
constexpr std::uint64_t kMinBodyBytes = 1024;
constexpr std::size_t kCurveKeyLength = 40;
constexpr std::size_t kSha256Digits = 64;
constexpr std::string_view kExpectedAddress =
    "an IP address and a port from 1 to 65535, e.g. 127.0.0.1:8101 or "
    "[::1]:8101; host names are not resolved";

std::optional<Address> ParseAddressNode(const YamlNode& node,
                                        std::string_view path,
                                        Problems& problems) {
  auto address = ParseAddress(node.scalar);
  if (!address) {
    AddProblem(problems, node.line, path,
               fmt::format("'{}' is invalid; expected {}",
                           node.scalar.substr(0, 60), kExpectedAddress));
  }
  return address;
}

void ReadAddress(YamlMap& map, std::string_view name, Address& value) {
  const YamlNode* node = base::FindField(map, name, Presence::kRequired);
  if (node != nullptr) {
    const auto address =
        ParseAddressNode(*node, FieldPath(map, name), *map.problems);
    value = address.value_or(value);
  }
}

std::string CheckCurveKey(std::string_view text) {
  constexpr std::string_view kZ85Alphabet =
      "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
      ".-:+=^!/*?&<>()[]{}@%$#";
  const bool is_key =
      text.size() == kCurveKeyLength &&
      text.find_first_not_of(kZ85Alphabet) == std::string_view::npos;
  return is_key ? "" : "a CURVE key of 40 Z85 characters (see keys generate)";
}

void ReadCurveKey(YamlMap& map, std::string_view name, std::string& value) {
  base::ReadString(map, name, value, Presence::kRequired);
  const std::string expected = CheckCurveKey(value);
  if (!value.empty() && !expected.empty()) {
    // The message must not quote the value: it may be a mistyped secret key.
    AddProblem(*map.problems, 0, FieldPath(map, name), "expected " + expected);
  }
}

void ReadTarget(const YamlNode& node, Problems& problems, TargetSettings& out) {
  YamlMap map = base::OpenMap(node, "target", problems);
  ReadAddress(map, "address", out.address);
  base::ReadName(map, "service", out.service);
  base::ReadInteger(map, "slots", out.slots, {1, 10'000});
  base::ReadInteger(map, "connections", out.connections, {1, 100'000});
  base::ReadBool(map, "checks_fencing", out.checks_fencing);
  base::FinishMap(map);
}

void ReadStore(const YamlNode& node, Problems& problems, StoreSettings& out) {
  if (node.kind == YamlNode::Kind::kScalar) {
    out.in_memory = node.scalar == "memory";
    if (!out.in_memory) {
      AddProblem(problems, node.line, "store",
                 "expected the word memory or a map with address and "
                 "timeout");
    }
    return;
  }
  YamlMap map = base::OpenMap(node, "store", problems);
  ReadAddress(map, "address", out.address);
  base::ReadDuration(map, "timeout", out.timeout,
                     {milliseconds{10}, seconds{60}});
  base::FinishMap(map);
}

void ReadLease(const YamlNode& node, Problems& problems, LeaseSettings& out) {
  YamlMap map = base::OpenMap(node, "lease", problems);
  base::ReadDuration(map, "lease", out.lease, {milliseconds{200}, seconds{60}});
  base::ReadDuration(map, "promise_interval", out.promise_interval,
                     {milliseconds{10}, seconds{30}});
  base::ReadDuration(map, "deputy_read_bound", out.deputy_read_bound,
                     {seconds{1}, seconds{86'400}});
  base::ReadInteger(map, "clock_rate_bound_ppm", out.clock_rate_bound_ppm,
                    {0, 100'000});
  base::FinishMap(map);
  // With less than two promises per lease, a single lost message would let the
  // lease expire.
  if (out.promise_interval * 2 > out.lease) {
    AddProblem(problems, 0, "lease.promise_interval",
               fmt::format("must be at most half of lease ({})",
                           base::FormatDuration(out.lease)));
  }
  if (out.deputy_read_bound < out.lease) {
    AddProblem(problems, 0, "lease.deputy_read_bound",
               fmt::format("must be at least lease ({})",
                           base::FormatDuration(out.lease)));
  }
}

void ReadMembership(const YamlNode& node,
                    Problems& problems,
                    MembershipSettings& out) {
  YamlMap map = base::OpenMap(node, "membership", problems);
  base::ReadDuration(map, "gossip_interval", out.gossip_interval,
                     {milliseconds{50}, seconds{60}});
  base::ReadDuration(map, "ping_interval", out.ping_interval,
                     {milliseconds{50}, seconds{60}});
  base::ReadDuration(map, "suspicion_timeout", out.suspicion_timeout,
                     {milliseconds{100}, seconds{600}});
  base::FinishMap(map);
  if (out.ping_interval >= out.suspicion_timeout) {
    AddProblem(problems, 0, "membership.suspicion_timeout",
               fmt::format("must be greater than ping_interval ({})",
                           base::FormatDuration(out.ping_interval)));
  }
}

void ReadKeys(const YamlNode& node, Problems& problems, PeerKeys& out) {
  YamlMap map = base::OpenMap(node, "keys", problems);
  ReadCurveKey(map, "public_key", out.public_key);
  ReadCurveKey(map, "secret_key", out.secret_key);
  base::ReadStrings(map, "accepted_public_keys", out.accepted_public_keys,
                    Presence::kOptional, CheckCurveKey);
  base::FinishMap(map);
}

void ReadScopes(YamlMap& map, OperatorToken& token) {
  constexpr std::array<std::string_view, 3> kScopes{"read", "change_catalogue",
                                                    "take_out"};
  std::vector<std::string> names;
  base::ReadStrings(map, "scopes", names, Presence::kRequired,
                    [&](std::string_view name) -> std::string {
                      return std::ranges::count(kScopes, name) > 0
                                 ? ""
                                 : "read, change_catalogue or take_out";
                    });
  for (const std::string& name : names) {
    const auto found = std::ranges::find(kScopes, name);
    token.scopes.push_back(
        static_cast<OperatorScope>(std::distance(kScopes.begin(), found)));
  }
}

OperatorToken ReadOperator(const YamlNode& node,
                           const std::string& path,
                           Problems& problems) {
  OperatorToken token;
  YamlMap map = base::OpenMap(node, path, problems);
  base::ReadName(map, "name", token.name);
  base::ReadString(map, "sha256", token.sha256, Presence::kRequired);
  const bool is_hex =
      token.sha256.size() == kSha256Digits &&
      token.sha256.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (!token.sha256.empty() && !is_hex) {
    AddProblem(problems, 0, FieldPath(map, "sha256"),
               "expected a SHA-256 hash of 64 lower-case hexadecimal digits "
               "(see keys generate)");
  }
  ReadScopes(map, token);
  std::string expires;
  base::ReadString(map, "expires", expires);
  if (!expires.empty()) {
    token.expires = base::ParseUtcTime(expires);
    if (!token.expires) {
      AddProblem(problems, 0, FieldPath(map, "expires"),
                 "expected a UTC time, e.g. 2027-01-31T00:00:00Z");
    }
  }
  base::FinishMap(map);
  return token;
}

void ReadTls(const YamlNode& node, Problems& problems, TlsSettings& out) {
  YamlMap map = base::OpenMap(node, "tls", problems);
  base::ReadString(map, "certificate_file", out.certificate_file,
                   Presence::kRequired);
  base::ReadString(map, "key_file", out.key_file, Presence::kRequired);
  base::FinishMap(map);
}

void ReadLog(const YamlNode& node, Problems& problems, base::LogOptions& out) {
  constexpr std::array<std::string_view, 2> kFormats{"text", "json"};
  constexpr std::array<std::string_view, 4> kLevels{"debug", "info", "warning",
                                                    "error"};
  YamlMap map = base::OpenMap(node, "log", problems);
  out.format = static_cast<base::LogFormat>(base::ReadEnum(
      map, "format", kFormats, static_cast<std::size_t>(out.format)));
  out.level = kLevels.at(base::ReadEnum(map, "level", kLevels, 1));
  base::FinishMap(map);
}

/// Reads the fields whose value is a map or a list.
void ReadNestedFields(YamlMap& map, Settings& out) {
  Problems& problems = *map.problems;
  base::ReadSequence(
      map, "seeds", Presence::kOptional,
      [&](const YamlNode& node, const std::string& path) {
        if (const auto seed = ParseAddressNode(node, path, problems)) {
          out.seeds.push_back(*seed);
        }
      });
  if (const auto* node = base::FindField(map, "target", Presence::kRequired)) {
    ReadTarget(*node, problems, out.target);
  }
  if (const auto* node = base::FindField(map, "store", Presence::kRequired)) {
    ReadStore(*node, problems, out.store);
  }
  if (const auto* node = base::FindField(map, "lease")) {
    ReadLease(*node, problems, out.lease);
  }
  if (const auto* node = base::FindField(map, "membership")) {
    ReadMembership(*node, problems, out.membership);
  }
  if (const auto* node = base::FindField(map, "keys")) {
    ReadKeys(*node, problems, out.keys.emplace());
  }
  base::ReadSequence(
      map, "operators", Presence::kOptional,
      [&](const YamlNode& node, const std::string& path) {
        out.operators.push_back(ReadOperator(node, path, problems));
      });
  if (const auto* node = base::FindField(map, "tls")) {
    ReadTls(*node, problems, out.tls.emplace());
  }
  if (const auto* node = base::FindField(map, "log")) {
    ReadLog(*node, problems, out.log);
  }
}

bool IsLoopback(const Address& address) {
  return address.ip.starts_with("127.") || address.ip == "::1";
}

/// Validates combinations of fields.
void CheckCombinations(const Settings& settings, Problems& problems) {
  if (settings.http == settings.peer) {
    AddProblem(problems, 0, "peer", "must differ from http");
  }
  if (settings.target.address == settings.http ||
      settings.target.address == settings.peer) {
    AddProblem(problems, 0, "target.address", "must differ from http and peer");
  }
  if (!settings.keys && !IsLoopback(settings.peer)) {
    AddProblem(
        problems, 0, "peer",
        "keys is missing; without keys, peer must be a loopback address");
  }
  for (std::size_t i = 0; i < settings.operators.size(); ++i) {
    for (std::size_t k = 0; k < i; ++k) {
      if (settings.operators[i].name == settings.operators[k].name) {
        AddProblem(
            problems, 0, fmt::format("operators[{}].name", i),
            fmt::format("duplicate name, also used by operators[{}]", k));
      }
    }
  }
}

}  // namespace

base::Result<Settings> ReadSettings(std::string_view yaml,
                                    std::string_view file_name) {
  Problems problems{std::string(file_name), {}, 0, {}};
  const YamlNode document = base::ParseYaml(yaml, kLimits, problems);
  Settings out;
  if (problems.count == 0) {
    YamlMap map = base::OpenMap(document, "", problems);
    base::ReadName(map, "site", out.site);
    base::ReadName(map, "name", out.name);
    base::ReadName(map, "region", out.region);
    base::ReadName(map, "data_centre", out.data_centre);
    ReadAddress(map, "http", out.http);
    ReadAddress(map, "peer", out.peer);
    ReadNestedFields(map, out);
    base::ReadInteger(map, "http_workers", out.http_workers, {1, 4096});
    base::ReadByteSize(map, "max_body_bytes", out.max_body_bytes,
                       {kMinBodyBytes, kMaxBodyBytes});
    base::ReadDuration(map, "drain_timeout", out.drain_timeout,
                       {milliseconds{100}, seconds{3600}});
    base::ReadString(map, "initial_catalogue_file", out.initial_catalogue_file);
    base::FinishMap(map);
  }
  if (problems.count == 0) {
    CheckCombinations(out, problems);
  }
  if (problems.count != 0) {
    return base::Fail(base::ErrorKind::kSettingsInvalid,
                      base::ToString(problems));
  }
  return out;
}

base::Result<Settings> ReadSettingsFile(const std::string& file_name) {
  BOOST_OUTCOME_TRY(text, base::ReadFile(file_name, kLimits.max_bytes));
  return ReadSettings(text, file_name);
}

}  // namespace eelgrassbridge::settings
