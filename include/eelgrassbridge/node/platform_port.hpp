// Interface between the node and the platform it runs on. The platform's
// adapter implements it, and only the adapter knows the platform's names and
// formats.
#ifndef EELGRASSBRIDGE_NODE_PLATFORM_PORT_HPP
#define EELGRASSBRIDGE_NODE_PLATFORM_PORT_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "eelgrassbridge/base/error.hpp"
#include "eelgrassbridge/base/time.hpp"
#include "eelgrassbridge/catalogue/route_table.hpp"
#include "eelgrassbridge/node/row_store.hpp"
#include "eelgrassbridge/ranges/range_map.hpp"

namespace eelgrassbridge::node {

/// @brief Names of the HTTP headers between callers, daemons and targets.
struct HeaderNames {
  std::string request_id;
  /// Time left until the deadline, in milliseconds.
  std::string time_left;
  /// Service of the VM where the request originated.
  std::string caller_service;
  /// Target that is to run the request; any other target refuses it.
  std::string expected_target;
  /// Marks an answer of a target that did not run the request.
  std::string not_run;
  std::string retry_after;
  std::string key;
  /// Credentials of a caller: the scheme, a space and an API key.
  std::string credentials;
  /// Scheme of the credentials; a value, not the name of a header.
  std::string credentials_scheme;
  /// Client account of the request, for the target.
  std::string account;
};

struct HeldRange {
  ranges::KeyRange keys;
  std::uint64_t fencing_token = 0;

  bool operator==(const HeldRange&) const = default;
};

struct ReleasedRange {
  ranges::KeyRange keys;
  /// Opaque data for the next owner, which would be slow at first without it.
  std::string handover;
};

/// @brief Status report of a target.
struct TargetReport {
  std::string target;
  std::string service;
  std::string address;
  std::uint32_t slots = 0;
  /// The target is about to stop.
  bool leaving = false;
  base::Duration cold_remaining{};
  /// Increases with each report of one target process.
  std::uint64_t sequence = 0;
  /// Start of the target process, Unix time in milliseconds.
  std::int64_t born = 0;
  /// Ranges that the target holds or still works on.
  std::vector<HeldRange> held;
  /// Ranges released since the last acknowledged report.
  std::vector<ReleasedRange> released;
};

/// @brief Notice of a target that it is about to stop.
struct TargetDeparture {
  std::string target;
  /// Start of the target process as in its reports; none if it is not told.
  std::optional<std::int64_t> born;
};

struct Grant {
  ranges::KeyRange keys;
  std::uint64_t fencing_token = 0;
  std::string handover;
};

/// @brief Answer to a target's report.
struct ReportAnswer {
  /// All ranges that the target is to hold; without a value, no grant is
  /// renewed.
  std::optional<std::vector<Grant>> grants;
  /// How long the grants are valid, from the time the report was sent.
  base::Duration hold{};
};

/// @brief A call from the target beside the daemon.
struct TargetCall {
  enum class Kind : std::uint8_t { kNone, kReport, kDeparture };
  Kind kind = Kind::kNone;
  std::string target;
};

/// @brief Meaning of a row in the operator's table.
struct OperatorRow {
  enum class Kind : std::uint8_t { kOther, kRoutes, kOutOfService };
  Kind kind = Kind::kOther;
  std::string data_centre;
};

/// @brief Names, store access and message formats of a platform.
struct PlatformPort {
  HeaderNames headers;
  std::string operator_table;
  RowStore store;
  std::function<bool(std::string_view method, std::string_view target)>
      is_readiness_call;
  std::function<TargetCall(std::string_view method, std::string_view target)>
      target_call;
  std::function<base::Result<TargetReport>(std::string_view target,
                                           std::string_view body)>
      decode_report;
  std::function<std::string(const ReportAnswer&)> encode_report_answer;
  std::function<TargetDeparture(std::string_view target, std::string_view body)>
      decode_departure;
  std::function<OperatorRow(const RowName&)> operator_row;
  std::function<base::Result<catalogue::RouteTable>(std::string_view value)>
      decode_routes;
};

}  // namespace eelgrassbridge::node

#endif  // EELGRASSBRIDGE_NODE_PLATFORM_PORT_HPP
