// Choice and outcome of batches, and the encoding between daemons.
#include "eelgrassbridge/node/renewal_batch.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace eelgrassbridge::node {

namespace {

using base::ErrorKind;
using nlohmann::json;

/// A transaction of the store has at most 100 entries, and each renewal takes
/// two of them.
constexpr std::size_t kMaxRenewals = 50;
/// Time that has to be left when a renewal joins a batch: the owner waits for
/// the batch at most 1.5 s, and then its own renewal takes up to 1 s.
constexpr base::Duration kMinTimeLeft = base::milliseconds{3000};
constexpr base::Duration kMinRetryPause = base::milliseconds{250};
/// A lease that has lapsed during an outage is to be back within two seconds of
/// the store's return.
constexpr base::Duration kLapsedRetryPause = base::milliseconds{500};
/// Attempts that fit into the time that is left.
constexpr std::int64_t kRetriesLeft = 8;

json EncodeRow(const StoredRow& row) {
  return {{"table", row.name.table},
          {"partition", row.name.partition},
          {"key", row.name.key},
          {"version", row.version},
          {"value", json::binary({row.value.begin(), row.value.end()})}};
}

StoredRow DecodeRow(const json& value) {
  StoredRow row;
  row.name = {value.at("table").get<std::string>(),
              value.at("partition").get<std::string>(),
              value.at("key").get<std::string>()};
  row.version = value.at("version").get<std::uint64_t>();
  const auto& bytes = value.at("value").get_binary();
  row.value.assign(bytes.begin(), bytes.end());
  return row;
}

std::string ToCbor(const json& value) {
  std::string text;
  json::to_cbor(value, text);
  return text;
}

}  // namespace

std::vector<std::size_t> ChooseBatch(std::span<const Renewal> waiting) {
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < waiting.size() && chosen.size() < kMaxRenewals;
       ++i) {
    const RowName& row = waiting[i].row;
    const bool fits =
        row.table == waiting.front().row.table &&
        row.partition == waiting.front().row.partition &&
        std::ranges::none_of(chosen, [&waiting, &row](std::size_t other) {
          return waiting[other].row == row;
        });
    if (fits) {
      chosen.push_back(i);
    }
  }
  return chosen;
}

RowTransaction JoinRenewals(std::span<const Renewal> batch) {
  RowTransaction transaction;
  for (const Renewal& renewal : batch) {
    transaction.conditions.push_back({renewal.row, renewal.version});
    transaction.writes.push_back({renewal.row, renewal.value});
  }
  return transaction;
}

StoredRow CurrentRowOf(const Renewal& renewal,
                       std::span<const StoredRow> rows) {
  const auto found = std::ranges::find(rows, renewal.row, &StoredRow::name);
  return found == rows.end() ? StoredRow{renewal.row, {}, 0, false} : *found;
}

base::Duration RenewRetryPause(base::Duration left) {
  if (left <= base::Duration{0}) {
    return kLapsedRetryPause;
  }
  return std::max(kMinRetryPause, left / kRetriesLeft);
}

bool MayJoinBatch(base::Duration left) {
  return left >= kMinTimeLeft;
}

std::string EncodeRenewal(const Renewal& renewal) {
  return ToCbor(
      EncodeRow({renewal.row, renewal.value, renewal.version, false}));
}

base::Result<Renewal> DecodeRenewal(std::string_view text) {
  try {
    StoredRow row = DecodeRow(json::from_cbor(text));
    return Renewal{std::move(row.name), row.version, std::move(row.value)};
  } catch (const json::exception& error) {
    return base::Fail(ErrorKind::kFrameInvalid, error.what());
  }
}

std::string EncodeOutcome(const CommitResult& outcome) {
  json rows = json::array();
  for (const StoredRow& row : outcome.current_rows) {
    rows.push_back(EncodeRow(row));
  }
  return ToCbor({{"committed", outcome.committed},
                 {"rows", std::move(rows)},
                 {"version", outcome.state.version},
                 {"time_us", outcome.state.time.count()},
                 {"era", outcome.state.era}});
}

base::Result<CommitResult> DecodeOutcome(std::string_view text) {
  try {
    const json value = json::from_cbor(text);
    CommitResult outcome;
    outcome.committed = value.at("committed").get<bool>();
    for (const json& row : value.at("rows")) {
      outcome.current_rows.push_back(DecodeRow(row));
    }
    outcome.state.version = value.at("version").get<std::uint64_t>();
    outcome.state.time =
        base::Duration{value.at("time_us").get<std::int64_t>()};
    outcome.state.era = value.at("era").get<std::uint64_t>();
    return outcome;
  } catch (const json::exception& error) {
    return base::Fail(ErrorKind::kFrameInvalid, error.what());
  }
}

}  // namespace eelgrassbridge::node
