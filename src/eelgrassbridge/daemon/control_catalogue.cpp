// Adoption and distribution of catalogues, and replies to joining daemons.
#include "eelgrassbridge/daemon/control_catalogue.hpp"

#include "eelgrassbridge/base/log.hpp"
#include "eelgrassbridge/catalogue/catalogue_json.hpp"
#include "eelgrassbridge/daemon/control_actions.hpp"
#include "eelgrassbridge/daemon/peer_thread.hpp"
#include "eelgrassbridge/wire/codec.hpp"

namespace eelgrassbridge::daemon {

namespace {

constexpr base::Duration kRequestInterval = base::milliseconds{500};
constexpr base::Duration kSubmissionInterval = base::seconds{2};
/// Estimated encoded size of an item without its key and payload, in bytes.
constexpr std::size_t kItemOverhead = 24;

wire::Item MakeWireItem(const ownership::GroupRow& row) {
  return {static_cast<std::uint32_t>(ItemKind::kRow),
          ownership::RowKey(row.group), row.version, ownership::EncodeRow(row)};
}

void SendRows(ControlState& state, base::DaemonId to) {
  wire::JoinReply part;
  std::size_t bytes = 0;
  for (const auto& [group, row] : state.ownership.rows) {
    part.items.push_back(MakeWireItem(row));
    const wire::Item& item = part.items.back();
    bytes += item.key.size() + item.payload.size() + kItemOverhead;
    if (bytes >= wire::kJoinPartBytes) {
      QueueMessage(state, to, std::move(part));
      part = {};
      bytes = 0;
    }
  }
  if (!part.items.empty()) {
    QueueMessage(state, to, std::move(part));
  }
}

void RequestCatalogue(ControlState& state, base::TimePoint now) {
  const auto& current = state.catalogue.current;
  const std::uint64_t version = current == nullptr ? 0 : current->version;
  if (state.catalogue.announced_version <= version ||
      now < state.catalogue.next_request) {
    return;
  }
  state.catalogue.next_request = now + kRequestInterval;
  QueueMessage(state, state.catalogue.announced_by,
               wire::CatalogueRequest{version});
}

void SubmitInitialCatalogue(ControlState& state, base::TimePoint now) {
  if (!state.table.has_no_catalogue || state.catalogue.current != nullptr ||
      state.initial_catalogue.services.empty() ||
      now < state.catalogue.next_initial_submission) {
    return;
  }
  state.catalogue.next_initial_submission = now + kSubmissionInterval;
  CatalogueChange change;
  change.operation_id = base::RandomHex128();
  change.next = state.initial_catalogue;
  change.next.changed_at_ms = base::UnixMilliseconds();
  if (change.next.changed_by.empty()) {
    change.next.changed_by = state.settings.name;
    change.next.reason = "initial catalogue of the settings";
  }
  state.to_writer.emplace_back(CatalogueSubmission{std::move(change), nullptr});
}

}  // namespace

bool AdoptCatalogue(ControlState& state,
                    base::TimePoint now,
                    catalogue::Catalogue catalogue) {
  const auto& current = state.catalogue.current;
  if (catalogue.version == 0 || catalogue.site != state.settings.site ||
      (current != nullptr && catalogue.version <= current->version)) {
    return false;
  }
  RecordReplacedCatalogue(state.view.next.replaced_catalogues, current,
                          catalogue, now, base::UnixMilliseconds());
  state.catalogue.json = catalogue::WriteCatalogueJson(catalogue);
  state.catalogue.current =
      std::make_shared<const catalogue::Catalogue>(std::move(catalogue));
  const std::uint64_t version = current->version;
  ownership::OnCatalogue(state.ownership, now, current);
  ApplyCatalogue(state.view, current);
  ScheduleGossip(state, now);
  membership::PublishItem(state.membership, now,
                          {static_cast<std::uint32_t>(ItemKind::kCatalogue),
                           "catalogue", version, ""});
  base::GetCounter(state.context.counters, "catalogue_version")
      .store(static_cast<std::int64_t>(version));
  base::LogEvent("catalogue_adopted", {{"version", std::to_string(version)},
                                       {"changed_by", current->changed_by}});
  return true;
}

bool AdoptCatalogueText(ControlState& state,
                        base::TimePoint now,
                        std::string_view json) {
  auto read = catalogue::ReadCatalogueJson(json);
  if (!read) {
    base::GetCounter(state.context.counters, "catalogues_invalid_total")
        .fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  return AdoptCatalogue(state, now, std::move(read).value());
}

void OnCatalogueVersion(ControlState& state,
                        base::TimePoint now,
                        base::DaemonId from,
                        std::uint64_t version) {
  if (version >= state.catalogue.announced_version) {
    state.catalogue.announced_version = version;
    state.catalogue.announced_by = from;
  }
  RequestCatalogue(state, now);
}

void AnswerCatalogueRequest(ControlState& state,
                            base::DaemonId from,
                            std::uint64_t known_version) {
  const auto& current = state.catalogue.current;
  if (current != nullptr && current->version > known_version) {
    QueueMessage(state, from,
                 wire::CataloguePush{current->version, state.catalogue.json});
  }
}

void AnswerJoin(ControlState& state, const membership::SendJoinReply& reply) {
  wire::JoinReply part;
  part.records = ToWire(reply.members);
  const bool wants_rows = state.joiners_wanting_rows.contains(reply.to);
  if (reply.last && wants_rows) {
    SendRows(state, reply.to);
    state.joiners_wanting_rows.erase(reply.to);
  }
  const auto& current = state.catalogue.current;
  if (reply.last && current != nullptr) {
    part.catalogue_version = current->version;
    part.catalogue_json = state.catalogue.json;
  }
  part.last = reply.last;
  QueueMessage(state, reply.to, std::move(part));
}

void TickCatalogue(ControlState& state, base::TimePoint now) {
  RequestCatalogue(state, now);
  SubmitInitialCatalogue(state, now);
}

}  // namespace eelgrassbridge::daemon
