// Starts, ends, evicts and transfers request ids.
#include "eelgrassbridge/limits/request_id_record.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace eelgrassbridge::limits {

namespace {

/// Bytes of an entry without its answer: map node, random digits, hash.
constexpr std::size_t kEntryBytes = 192;
/// An answer larger than max_bytes divided by this is not stored.
constexpr std::size_t kMaxAnswerDivisor = 4;

std::size_t BytesOf(const IdEntry& entry) {
  const auto* const answer = std::get_if<StoredAnswer>(&entry.state);
  return kEntryBytes + (answer == nullptr ? 0
                                          : answer->body.size() +
                                                answer->content_type.size());
}

bool IsFinished(const IdEntry& entry) {
  return !std::holds_alternative<InProgress>(entry.state);
}

bool IsIssuedBy(const IdGeneration& generation, const RequestId& id) {
  return generation.issuer == id.issuer && generation.epoch == id.epoch &&
         id.sequence >= generation.first_sequence &&
         id.sequence < generation.next_sequence;
}

const IdGeneration* FindGeneration(const RequestIdRecord& record,
                                   const RequestId& id) {
  if (IsIssuedBy(record.current, id)) {
    return &record.current;
  }
  for (const IdGeneration& generation : record.predecessors) {
    if (IsIssuedBy(generation, id)) {
      return &generation;
    }
  }
  return nullptr;
}

IdGeneration* FindGeneration(RequestIdRecord& record, const RequestId& id) {
  return const_cast<IdGeneration*>(FindGeneration(std::as_const(record), id));
}

/// Returns the entry of an id in progress; null if there is none.
IdEntry* FindInProgress(RequestIdRecord& record, const RequestId& id) {
  IdGeneration* const generation = FindGeneration(record, id);
  if (generation == nullptr) {
    return nullptr;
  }
  const auto found = generation->entries.find(id.sequence);
  if (found == generation->entries.end() || found->second.random != id.random ||
      IsFinished(found->second)) {
    return nullptr;
  }
  return &found->second;
}

/// Evicts the oldest finished id of a generation and raises its low-water mark.
/// Returns false if all ids are in progress.
bool EvictFrom(RequestIdRecord& record, IdGeneration& generation) {
  const auto oldest =
      std::find_if(generation.entries.begin(), generation.entries.end(),
                   [](const auto& item) { return IsFinished(item.second); });
  if (oldest == generation.entries.end()) {
    return false;
  }
  generation.low_water = std::max(generation.low_water, oldest->first + 1);
  record.bytes -= BytesOf(oldest->second);
  --record.ids;
  generation.entries.erase(oldest);
  return true;
}

bool EvictOldest(RequestIdRecord& record) {
  for (auto it = record.predecessors.rbegin(); it != record.predecessors.rend();
       ++it) {
    if (EvictFrom(record, *it)) {
      return true;
    }
  }
  return EvictFrom(record, record.current);
}

/// Evicts finished ids until `count` more fit; returns false if the remaining
/// ids are all in progress.
bool MakeRoom(RequestIdRecord& record, std::size_t count) {
  while (record.ids + count > record.options.max_ids ||
         record.bytes + count * kEntryBytes > record.options.max_bytes) {
    if (!EvictOldest(record)) {
      return false;
    }
  }
  return true;
}

void SetState(RequestIdRecord& record, const RequestId& id, IdState state) {
  IdEntry* const entry = FindInProgress(record, id);
  if (entry == nullptr) {
    return;
  }
  record.bytes -= BytesOf(*entry);
  entry->state = std::move(state);
  record.bytes += BytesOf(*entry);
  MakeRoom(record, 0);
}

BeginResult ResultFor(const IdEntry& entry,
                      const RequestId& id,
                      const base::Hash128Value& fingerprint) {
  if (entry.random != id.random || entry.fingerprint != fingerprint) {
    return RefuseId{base::ErrorKind::kBadRequest};
  }
  if (const auto* const answer = std::get_if<StoredAnswer>(&entry.state)) {
    return *answer;
  }
  if (const auto* const ended = std::get_if<EndedUnknown>(&entry.state)) {
    return RefuseId{ended->kind};
  }
  return RefuseId{base::ErrorKind::kDuplicateInProgress};
}

}  // namespace

RequestIdRecord MakeRecord(base::DaemonId owner,
                           std::uint64_t epoch,
                           const RequestIdRecordOptions& options) {
  RequestIdRecord record;
  record.options = options;
  record.current.issuer = owner;
  record.current.epoch = epoch;
  // The two highest bits stay zero, so that the sequence cannot wrap around.
  const std::uint64_t first = base::Hash64(base::RandomHex128()) >> 2U;
  record.current.first_sequence = first;
  record.current.low_water = first;
  record.current.next_sequence = first;
  return record;
}

RequestId Issue(RequestIdRecord& record) {
  return {record.current.issuer, record.current.epoch,
          record.current.next_sequence++, base::RandomHex128()};
}

BeginResult Peek(const RequestIdRecord& record,
                 const RequestId& id,
                 const base::Hash128Value& fingerprint) {
  const IdGeneration* const generation = FindGeneration(record, id);
  if (generation == nullptr) {
    return RefuseId{base::ErrorKind::kIdFromOlderEpoch};
  }
  const auto found = generation->entries.find(id.sequence);
  if (found != generation->entries.end()) {
    return ResultFor(found->second, id, fingerprint);
  }
  if (id.sequence < generation->low_water) {
    return RefuseId{base::ErrorKind::kIdFromOlderEpoch};
  }
  if (record.closed) {
    return RefuseId{base::ErrorKind::kNotOwner};
  }
  return RunRequest{};
}

BeginResult Begin(RequestIdRecord& record,
                  const RequestId& id,
                  const base::Hash128Value& fingerprint) {
  BeginResult result = Peek(record, id, fingerprint);
  if (!std::holds_alternative<RunRequest>(result)) {
    return result;
  }
  if (!MakeRoom(record, 1)) {
    return RefuseId{base::ErrorKind::kIdRecordFull};
  }
  IdGeneration& generation = *FindGeneration(record, id);
  const IdEntry entry{id.random, fingerprint, InProgress{}};
  record.bytes += BytesOf(entry);
  ++record.ids;
  generation.entries.emplace(id.sequence, entry);
  return RunRequest{};
}

void EndAnswered(RequestIdRecord& record,
                 const RequestId& id,
                 StoredAnswer answer) {
  const std::size_t bytes = answer.body.size() + answer.content_type.size();
  if (bytes > record.options.max_bytes / kMaxAnswerDivisor) {
    SetState(record, id, EndedUnknown{base::ErrorKind::kAnswerCut});
    return;
  }
  SetState(record, id, std::move(answer));
}

void EndUnknown(RequestIdRecord& record,
                const RequestId& id,
                base::ErrorKind kind) {
  SetState(record, id, EndedUnknown{kind});
}

void EndNotRun(RequestIdRecord& record, const RequestId& id) {
  const IdEntry* const entry = FindInProgress(record, id);
  if (entry == nullptr) {
    return;
  }
  record.bytes -= BytesOf(*entry);
  --record.ids;
  FindGeneration(record, id)->entries.erase(id.sequence);
}

std::vector<IdGeneration> ExportRecord(RequestIdRecord& record) {
  record.closed = true;
  std::vector<IdGeneration> generations{record.current};
  generations.insert(generations.end(), record.predecessors.begin(),
                     record.predecessors.end());
  for (IdGeneration& generation : generations) {
    for (auto& [sequence, entry] : generation.entries) {
      if (!IsFinished(entry)) {
        entry.state = EndedUnknown{base::ErrorKind::kTargetTimeout};
      }
    }
  }
  return generations;
}

bool ImportRecord(RequestIdRecord& record,
                  std::vector<IdGeneration> generations) {
  if (generations.empty() || record.closed || !record.predecessors.empty()) {
    return false;
  }
  std::uint64_t expected = record.current.epoch;
  for (const IdGeneration& generation : generations) {
    if (generation.epoch + 1 != expected) {
      return false;
    }
    expected = generation.epoch;
  }
  if (generations.size() > record.options.max_predecessors) {
    generations.resize(record.options.max_predecessors);
  }
  record.predecessors = std::move(generations);
  for (const IdGeneration& generation : record.predecessors) {
    for (const auto& [sequence, entry] : generation.entries) {
      record.bytes += BytesOf(entry);
      ++record.ids;
    }
  }
  MakeRoom(record, 0);
  return true;
}

}  // namespace eelgrassbridge::limits
