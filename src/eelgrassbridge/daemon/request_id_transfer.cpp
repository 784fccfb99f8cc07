// Encodes and decodes request-id records as CBOR.
#include "eelgrassbridge/daemon/request_id_transfer.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace eelgrassbridge::daemon {

namespace {

using nlohmann::json;

/// Encoded values of the state of an entry.
constexpr int kAnswered = 1;
constexpr int kUnknown = 2;

json StateToJson(const limits::IdState& state) {
  if (const auto* const stored = std::get_if<limits::StoredAnswer>(&state)) {
    return {kAnswered, stored->status, stored->content_type,
            json::binary({stored->body.begin(), stored->body.end()})};
  }
  const auto* const ended = std::get_if<limits::EndedUnknown>(&state);
  const auto kind =
      ended == nullptr ? base::ErrorKind::kTargetLost : ended->kind;
  return {kUnknown, static_cast<int>(kind)};
}

limits::IdState StateFromJson(const json& value) {
  if (value.at(0).get<int>() == kAnswered) {
    const auto& body = value.at(3).get_binary();
    return limits::StoredAnswer{value.at(1).get<int>(),
                                value.at(2).get<std::string>(),
                                std::string(body.begin(), body.end())};
  }
  const auto kind = value.at(1).get<std::size_t>();
  return limits::EndedUnknown{kind < base::kErrorKindCount
                                  ? static_cast<base::ErrorKind>(kind)
                                  : base::ErrorKind::kTargetLost};
}

json ToJson(const limits::IdGeneration& generation) {
  json entries = json::array();
  for (const auto& [sequence, entry] : generation.entries) {
    entries.push_back({sequence, entry.random, entry.fingerprint.high,
                       entry.fingerprint.low, StateToJson(entry.state)});
  }
  return {generation.issuer.value,   generation.epoch,
          generation.first_sequence, generation.low_water,
          generation.next_sequence,  std::move(entries)};
}

limits::IdGeneration FromJson(const json& value) {
  limits::IdGeneration generation;
  value.at(0).get_to(generation.issuer.value);
  value.at(1).get_to(generation.epoch);
  value.at(2).get_to(generation.first_sequence);
  value.at(3).get_to(generation.low_water);
  value.at(4).get_to(generation.next_sequence);
  for (const json& entry : value.at(5)) {
    generation.entries.emplace(
        entry.at(0).get<std::uint64_t>(),
        limits::IdEntry{entry.at(1).get<std::string>(),
                        {entry.at(2).get<std::uint64_t>(),
                         entry.at(3).get<std::uint64_t>()},
                        StateFromJson(entry.at(4))});
  }
  return generation;
}

std::string EncodeCbor(const std::vector<limits::IdGeneration>& generations) {
  json list = json::array();
  for (const limits::IdGeneration& generation : generations) {
    list.push_back(ToJson(generation));
  }
  const std::vector<std::uint8_t> bytes = json::to_cbor(list);
  return {bytes.begin(), bytes.end()};
}

/// Replaces stored answers by EndedUnknown, largest first, until `excess` bytes
/// are saved.
void DropLargestAnswers(std::vector<limits::IdGeneration>& generations,
                        std::size_t excess) {
  std::vector<limits::IdEntry*> answered;
  for (limits::IdGeneration& generation : generations) {
    for (auto& [sequence, entry] : generation.entries) {
      if (std::holds_alternative<limits::StoredAnswer>(entry.state)) {
        answered.push_back(&entry);
      }
    }
  }
  const auto size = [](const limits::IdEntry* entry) {
    return std::get<limits::StoredAnswer>(entry->state).body.size();
  };
  std::ranges::sort(answered, std::greater{}, size);
  std::size_t saved = 0;
  for (limits::IdEntry* const entry : answered) {
    if (saved >= excess) {
      return;
    }
    saved += size(entry);
    entry->state = limits::EndedUnknown{base::ErrorKind::kAnswerCut};
  }
}

}  // namespace

std::string EncodeGenerations(std::vector<limits::IdGeneration> generations,
                              std::size_t max_bytes) {
  std::string bytes = EncodeCbor(generations);
  if (bytes.size() > max_bytes) {
    DropLargestAnswers(generations, bytes.size() - max_bytes);
    bytes = EncodeCbor(generations);
  }
  return bytes.size() > max_bytes ? std::string() : bytes;
}

std::optional<std::vector<limits::IdGeneration>> DecodeGenerations(
    std::string_view bytes) {
  const json list = json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (!list.is_array()) {
    return std::nullopt;
  }
  try {
    std::vector<limits::IdGeneration> generations;
    for (const json& value : list) {
      generations.push_back(FromJson(value));
    }
    return generations;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace eelgrassbridge::daemon
