// Daemons, rows and helper functions shared by the tests of the rules.
#ifndef EELGRASSBRIDGE_OWNERSHIP_RULES_TEST_SUPPORT_HPP
#define EELGRASSBRIDGE_OWNERSHIP_RULES_TEST_SUPPORT_HPP

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>

#include "eelgrassbridge/ownership/ownership_commands.hpp"
#include "eelgrassbridge/ownership/ownership_queries.hpp"

namespace eelgrassbridge::ownership {
using base::milliseconds;
using base::seconds;
using Status = store::TransactionResult::Status;

inline constexpr base::DaemonId kOwner{1};
inline constexpr base::DaemonId kDeputy{2};
inline constexpr base::DaemonId kThird{3};
inline const base::GroupId kGroup{"listing", "sur", 0, std::nullopt};

inline base::TimePoint T(std::int64_t ms) {
  return base::TimePoint{milliseconds{ms}};
}

inline GroupRow Row(std::uint64_t version) {
  GroupRow row;
  row.group = kGroup;
  row.owner = kOwner;
  row.deputy = kDeputy;
  row.epoch = 1;
  row.version = version;
  return row;
}

inline std::shared_ptr<const catalogue::Catalogue> TestCatalogue() {
  auto catalogue = std::make_shared<catalogue::Catalogue>();
  catalogue->version = 1;
  catalogue::Service service;
  service.name = "listing";
  service.divided_by_key = true;
  service.instances = 1;
  service.groups_per_instance = 1;
  service.regions = {"sur"};
  catalogue->services.push_back(service);
  return catalogue;
}

inline OwnershipState MakeCore(base::DaemonId self, BrokenRules broken = {}) {
  OwnershipOptions options;
  options.broken = broken;
  OwnershipState state = MakeOwnershipState(self, options, T(0));
  OnCatalogue(state, T(0), TestCatalogue());
  for (const auto& [id, name] :
       {std::pair{kOwner, "a"}, {kDeputy, "b"}, {kThird, "c"}}) {
    OnMember(state, T(0),
             {id, name, "listing", std::string("dc-") + name, "sur", true});
  }
  return state;
}

inline void Read(OwnershipState& state,
                 base::TimePoint sent_at,
                 const GroupRow& row,
                 Actions& actions) {
  OnRowsRead(state, sent_at + milliseconds{5}, {sent_at, {}, false, {&row, 1}},
             actions);
}

template <typename T>
std::optional<T> Find(const Actions& actions) {
  const auto found = std::ranges::find_if(actions, [](const Action& action) {
    return std::holds_alternative<T>(action);
  });
  return found == actions.end() ? std::nullopt
                                : std::optional(std::get<T>(*found));
}

/// The first row that the first submitted transaction writes.
inline GroupRow WrittenRow(const Actions& actions) {
  const auto submitted = Find<SubmitTransaction>(actions);
  REQUIRE(submitted.has_value());
  const store::ConditionalWrite& write = submitted->transaction.writes.at(0);
  return DecodeRow({write.key, write.expected_version, *write.value}).value();
}

inline std::string SubmittedId(const Actions& actions) {
  return Find<SubmitTransaction>(actions)->transaction.operation_id;
}

inline Actions RunTick(OwnershipState& state, base::TimePoint now) {
  Actions actions;
  OnTick(state, now, actions);
  return actions;
}

}  // namespace eelgrassbridge::ownership

#endif  // EELGRASSBRIDGE_OWNERSHIP_RULES_TEST_SUPPORT_HPP
