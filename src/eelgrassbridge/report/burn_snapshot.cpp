// Copies a recorder, and writes and reads the JSON format.
#include "eelgrassbridge/report/burn_snapshot.hpp"

#include <nlohmann/json.hpp>

#include "eelgrassbridge/catalogue/catalogue_json.hpp"

namespace eelgrassbridge::report {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxSnapshotBytes = std::size_t{32} * 1024 * 1024;

/// A bucket is an array, because field names would triple the size.
json ToJson(const BurnBucket& bucket) {
  return {bucket.start_s,     bucket.answered,   bucket.slow,
          bucket.not_run,     bucket.unknown,    bucket.mean.count(),
          bucket.p99.count(), bucket.max.count()};
}

BurnBucket BucketFromJson(const json& value) {
  BurnBucket bucket;
  value.at(0).get_to(bucket.start_s);
  value.at(1).get_to(bucket.answered);
  value.at(2).get_to(bucket.slow);
  value.at(3).get_to(bucket.not_run);
  value.at(4).get_to(bucket.unknown);
  bucket.mean = base::Duration{value.at(5).get<std::int64_t>()};
  bucket.p99 = base::Duration{value.at(6).get<std::int64_t>()};
  bucket.max = base::Duration{value.at(7).get<std::int64_t>()};
  return bucket;
}

/// Higher than any daemon can count in one bucket, and low enough that the sum
/// over 15,000 daemons and all buckets doesn't overflow 64 bits.
constexpr std::uint64_t kMaxCount = 1ULL << 40U;

bool IsValid(const std::vector<BurnBucket>& buckets, const RingShape& shape) {
  if (buckets.size() > shape.count) {
    return false;
  }
  for (std::size_t i = 0; i < buckets.size(); ++i) {
    const BurnBucket& bucket = buckets[i];
    if (bucket.start_s <= 0 || bucket.start_s % shape.width_s != 0 ||
        (i > 0 && bucket.start_s <= buckets[i - 1].start_s) ||
        bucket.slow > bucket.answered || bucket.answered > kMaxCount ||
        bucket.not_run > kMaxCount || bucket.unknown > kMaxCount) {
      return false;
    }
  }
  return true;
}

BurnSeries SeriesFromJson(const json& value) {
  BurnSeries series;
  value.at("service").get_to(series.key.service);
  value.at("kind").get_to(series.key.kind);
  value.at("account_class").get_to(series.key.account_class);
  for (std::size_t i = 0; i < kRingShapes.size(); ++i) {
    for (const json& bucket : value.at("rings").at(i)) {
      series.rings.at(i).push_back(BucketFromJson(bucket));
    }
  }
  return series;
}

}  // namespace

BurnSnapshot TakeSnapshot(const BurnRecorder& recorder,
                          std::string_view daemon_id,
                          std::string_view daemon_name,
                          std::int64_t now_s) {
  BurnSnapshot snapshot;
  snapshot.daemon_id = daemon_id;
  snapshot.daemon_name = daemon_name;
  snapshot.taken_at_s = now_s;
  const std::scoped_lock lock(recorder.mutex);
  snapshot.since_s = recorder.since_s;
  snapshot.dropped = recorder.dropped;
  for (const auto& [key, rings] : recorder.rings) {
    BurnSeries& series = snapshot.series.emplace_back();
    series.key = key;
    for (std::size_t i = 0; i < rings.size(); ++i) {
      series.rings.at(i) = rings.at(i).buckets;
      if (rings.at(i).latency != nullptr) {
        const auto summary = base::Summarize(*rings.at(i).latency);
        BurnBucket& newest = series.rings.at(i).back();
        newest.mean = summary.mean;
        newest.p99 = summary.p99;
        newest.max = summary.max;
      }
    }
  }
  return snapshot;
}

std::string WriteSnapshotJson(const BurnSnapshot& snapshot) {
  json list = json::array();
  for (const BurnSeries& series : snapshot.series) {
    json rings = json::array();
    for (const std::vector<BurnBucket>& ring : series.rings) {
      json buckets = json::array();
      for (const BurnBucket& bucket : ring) {
        buckets.push_back(ToJson(bucket));
      }
      rings.push_back(std::move(buckets));
    }
    list.push_back({{"service", series.key.service},
                    {"kind", series.key.kind},
                    {"account_class", series.key.account_class},
                    {"rings", std::move(rings)}});
  }
  return json{{"daemon_id", snapshot.daemon_id},
              {"daemon_name", snapshot.daemon_name},
              {"taken_at_s", snapshot.taken_at_s},
              {"since_s", snapshot.since_s},
              {"dropped", snapshot.dropped},
              {"series", std::move(list)}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

base::Result<BurnSnapshot> ReadSnapshotJson(std::string_view text) {
  const auto value = catalogue::ParseBoundedJson(text, kMaxSnapshotBytes);
  if (!value) {
    return base::Fail(base::ErrorKind::kSnapshotInvalid, value.error().detail);
  }
  BurnSnapshot snapshot;
  try {
    const json& object = value.value();
    object.at("daemon_id").get_to(snapshot.daemon_id);
    object.at("daemon_name").get_to(snapshot.daemon_name);
    object.at("taken_at_s").get_to(snapshot.taken_at_s);
    object.at("since_s").get_to(snapshot.since_s);
    object.at("dropped").get_to(snapshot.dropped);
    for (const json& series : object.at("series")) {
      snapshot.series.push_back(SeriesFromJson(series));
    }
  } catch (const json::exception& error) {
    return base::Fail(base::ErrorKind::kSnapshotInvalid, error.what());
  }
  for (const BurnSeries& series : snapshot.series) {
    for (std::size_t i = 0; i < kRingShapes.size(); ++i) {
      if (!IsValid(series.rings.at(i), kRingShapes.at(i))) {
        return base::Fail(base::ErrorKind::kSnapshotInvalid,
                          "a bucket is out of range or order");
      }
    }
  }
  return snapshot;
}

}  // namespace eelgrassbridge::report
