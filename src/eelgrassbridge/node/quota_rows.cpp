// Encodes and applies the rows of the quota coordinator.
#include "eelgrassbridge/node/quota_rows.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "eelgrassbridge/base/json_value.hpp"
#include "eelgrassbridge/http/endpoint.hpp"

namespace eelgrassbridge::node {

using nlohmann::json;

std::string EncodeQuotaRecord(const QuotaRecord& record) {
  return json{{"daemon", record.daemon},
              {"process", record.process},
              {"tenure", record.tenure},
              {"expires_us", record.expires.count()},
              {"listed", record.listed}}
      .dump();
}

base::Result<QuotaRecord> DecodeQuotaRecord(std::string_view text) {
  try {
    const json value = json::parse(text);
    QuotaRecord record;
    record.daemon = value.at("daemon").get<std::string>();
    record.process = base::JsonName(value.at("process"));
    record.tenure = base::JsonInteger<std::uint64_t>(value.at("tenure"));
    record.expires =
        base::Duration{base::JsonInteger<std::int64_t>(value.at("expires_us"))};
    for (const json& daemon : value.at("listed")) {
      record.listed.insert(daemon.get<std::string>());
    }
    if (!http::ParseEndpoint(record.daemon)) {
      return base::Fail(base::ErrorKind::kFrameInvalid,
                        "the daemon is not of the form IP:PORT");
    }
    return record;
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  } catch (const base::InvalidJsonValue& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  }
}

limits::QuotaOptions QuotaOptionsOf(const Bounds& bounds) {
  // The rest of the tolerance is for requests that reach a target later than
  // they took their token, and for what a new coordinator cannot know.
  constexpr double kSlackPart = 0.65;
  constexpr double kSparePart = 0.15;
  limits::QuotaOptions options;
  options.slack = bounds.quota_tolerance * kSlackPart;
  options.spare = bounds.quota_tolerance * kSparePart;
  return options;
}

void RefreshQuotaLimits(Node& node) {
  QuotaState& quota = node.quota;
  limits::QuotaLimits limits;
  if (node.routes) {
    for (const auto& [name, account] : node.routes->accounts) {
      if (account.requests_per_second > 0) {
        limits[name] = {account.requests_per_second, account.burst};
      }
    }
    quota.seen_without_limits |= limits.empty();
  }
  quota.shares.options = QuotaOptionsOf(node.settings.bounds);
  if (limits == quota.limits) {
    return;
  }
  quota.limits = std::move(limits);
  limits::ApplyLimits(quota.shares, quota.limits, base::BootClock::now());
  http::Notify(quota.changed);
}

void ApplyQuotaRow(Node& node, const StoredRow& row) {
  if (row.removed) {
    return;
  }
  const auto record = DecodeQuotaRecord(row.value);
  if (!record) {
    Log(node.log, EventKind::kRowRejected,
        {{"row", row.name.key}, {"cause", record.error().detail}});
    return;
  }
  SetQuotaCoordinator(node, record.value());
}

void SetQuotaCoordinator(Node& node, const QuotaRecord& record) {
  QuotaState& quota = node.quota;
  if (record.tenure <= quota.coordinator.tenure) {
    return;
  }
  quota.coordinator = record;
  quota.shares.tenure = record.tenure;
  quota.answered_at = {};
  if (quota.ledger && quota.ledger->tenure < record.tenure) {
    LoseQuotaCoordinator(node, "another daemon has taken over");
  }
  http::Notify(quota.changed);
  http::Notify(quota.wanted);
}

void ForgetQuotaRows(Node& node) {
  LoseQuotaCoordinator(node, "the store was restored from an older copy");
  node.quota.coordinator = {};
  node.quota.answered_at = {};
  http::Notify(node.quota.changed);
}

bool IsQuotaCoordinator(const Node& node, base::TimePoint now) {
  return node.quota.ledger && now < node.quota.right_ends;
}

void LoseQuotaCoordinator(Node& node, std::string_view cause) {
  QuotaState& quota = node.quota;
  if (!quota.ledger) {
    return;
  }
  Log(node.log, EventKind::kQuotaCoordinatorLost,
      {{"cause", cause},
       {"tenure", static_cast<std::int64_t>(quota.ledger->tenure)}});
  quota.ledger.reset();
  quota.right_ends = {};
  quota.lease_version = 0;
}

}  // namespace eelgrassbridge::node
