// Makes a range map from the claims of its owners.
#include "eelgrassbridge/ranges/recovery.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

#include "eelgrassbridge/ranges/planning.hpp"

namespace eelgrassbridge::ranges {

namespace {

using nlohmann::json;

constexpr std::string_view kCollecting = "collecting";
constexpr std::string_view kClosed = "closed";
/// Added to the end of the longest lease, to allow for clock drift.
constexpr base::Duration kClaimMargin = base::milliseconds{300};
/// Each era has this many bits of fencing tokens, far more than an era uses.
constexpr unsigned kTokenBits = 32;

struct OwnedClaim {
  Claim claim;
  const OwnerId* owner = nullptr;
};

/// Claims of all leases, those with the highest fencing token last.
std::vector<OwnedClaim> SortedClaims(std::span<const LeaseRecord> live) {
  std::vector<OwnedClaim> claims;
  for (const LeaseRecord& lease : live) {
    for (const Claim& claim : lease.claims) {
      claims.push_back({claim, &lease.owner});
    }
  }
  std::ranges::sort(claims, {}, [](const OwnedClaim& item) {
    return std::tie(item.claim.fencing_token, item.owner->daemon);
  });
  return claims;
}

/// Entries of all keys. Keys without a claim have an owner without a name,
/// which no lease has.
std::vector<RangeEntry> EntriesOf(std::span<const OwnedClaim> claims) {
  std::vector<const OwnedClaim*> claim_of(kLastKey + 1, nullptr);
  for (const OwnedClaim& item : claims) {
    for (std::uint32_t key = item.claim.keys.first; key <= item.claim.keys.last;
         ++key) {
      claim_of[key] = &item;
    }
  }
  std::vector<RangeEntry> entries;
  for (std::uint32_t key = 0; key <= kLastKey; ++key) {
    if (key > 0 && claim_of[key] == claim_of[key - 1]) {
      entries.back().keys.last = key;
      continue;
    }
    RangeEntry entry;
    entry.keys = {key, key};
    if (claim_of[key] != nullptr) {
      entry.fencing_token = claim_of[key]->claim.fencing_token;
      entry.owner = *claim_of[key]->owner;
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

}  // namespace

std::string EncodeRecovery(const RecoveryRecord& record) {
  const bool closed = record.phase == RecoveryPhase::kClosed;
  return json{{"phase", closed ? kClosed : kCollecting},
              {"since_us", record.since.count()}}
      .dump();
}

base::Result<RecoveryRecord> DecodeRecovery(std::string_view text) {
  try {
    const json value = json::parse(text);
    RecoveryRecord record;
    const auto phase = value.at("phase").get<std::string>();
    if (phase != kCollecting && phase != kClosed) {
      return base::Fail(base::ErrorKind::kFrameInvalid, "unknown phase");
    }
    record.phase =
        phase == kClosed ? RecoveryPhase::kClosed : RecoveryPhase::kCollecting;
    record.since = base::Duration{value.at("since_us").get<std::int64_t>()};
    return record;
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kFrameInvalid, error.what());
  }
}

base::Duration EndOfClaims(const RecoveryRecord& record,
                           const LeaseOptions& options) {
  return record.since + options.length + kClaimMargin;
}

std::vector<Claim> ClaimsOf(const RangeMap& map, const OwnerId& owner) {
  std::vector<Claim> claims;
  for (const RangeEntry& entry : map.entries) {
    if (entry.owner == owner && entry.next_daemon.empty()) {
      claims.push_back({entry.keys, entry.fencing_token});
    }
  }
  return claims;
}

std::optional<RangeMap> RecoverMap(std::span<const LeaseRecord> live,
                                   std::uint64_t era) {
  const std::vector<OwnedClaim> claims = SortedClaims(live);
  RangeMap map;
  map.next_token = std::max<std::uint64_t>(1, era << kTokenBits);
  if (!claims.empty()) {
    map.next_token =
        std::max(map.next_token, claims.back().claim.fencing_token + 1);
    map.entries = EntriesOf(claims);
  }
  if (auto planned = Plan(map, {live, false})) {
    return planned;
  }
  const bool all_owned = std::ranges::none_of(
      map.entries,
      [](const RangeEntry& entry) { return entry.owner.daemon.empty(); });
  if (!all_owned) {
    return std::nullopt;
  }
  LimitEncodedSize(map);
  return map;
}

}  // namespace eelgrassbridge::ranges
