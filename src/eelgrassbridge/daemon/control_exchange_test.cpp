// Tests the reports of load and of the busiest keys, without which hot keys are
// not detected, and checks that a site under steady load does not fill its
// gossip with load items.
#include "eelgrassbridge/daemon/control_exchange.hpp"

#include <doctest/doctest.h>

#include "eelgrassbridge/base/hash.hpp"

namespace eelgrassbridge::daemon {

namespace {

const base::GroupId kGroup{"listing", "sur", 3, std::nullopt};
const std::string kKey = "pallet-7";

struct Fixture {
  Fixture() {
    OpenGroupGate(this->state.gates,
                  {{kGroup, 1}, this->now + base::seconds{3600}, {}});
    TickExchange(this->state, this->now);
  }

  /// Simulates one second with the given number of requests, half of them for
  /// one key.
  void RunSecond(int requests) {
    GroupGate& gate = *this->state.gates.open.at(kGroup);
    for (int i = 0; i < requests; ++i) {
      REQUIRE(TryEnter(gate, this->now));
      CountKey(gate, i % 2 == 0 ? kKey : std::to_string(i));
      Leave(gate);
    }
    this->now += base::seconds{1};
    TickExchange(this->state, this->now);
  }

  std::string PublishedLoad() const {
    const auto found = this->state.membership.items.find(
        {static_cast<std::uint32_t>(ItemKind::kLoad),
         base::ToString(this->state.self)});
    return found == this->state.membership.items.end() ? ""
                                                       : found->second.payload;
  }

  base::TimePoint now = base::FromMicroseconds(1'000'000'000);
  settings::Settings settings;
  catalogue::Catalogue initial;
  RequestContext context{this->settings};
  ControlState state{this->settings, this->initial, this->context,
                     base::DaemonId{1}, this->now};
};

}  // namespace

TEST_CASE("each second the busiest keys of each gate are read and reset") {
  Fixture fixture;
  for (int second = 0; second < 3; ++second) {
    fixture.RunSecond(100);
    const auto& demands = fixture.state.ownership.local_demand;
    REQUIRE(demands.size() == 1);
    CHECK(demands[0].requests_per_second == doctest::Approx(100));
    REQUIRE_FALSE(demands[0].busiest_keys.empty());
    CHECK(demands[0].busiest_keys[0].key_hash == base::Hash64(kKey));
    CHECK(demands[0].busiest_keys[0].requests_per_second ==
          doctest::Approx(50).epsilon(0.07));
  }
}

TEST_CASE("the demand of an account is sent only to its home regions") {
  Fixture fixture;
  auto catalogue = std::make_shared<catalogue::Catalogue>();
  catalogue->accounts = {{"yard", {"litoral"}, {}}, {"free", {}, {}}};
  fixture.state.catalogue.current = catalogue;
  const std::vector<std::string> names{limits::AccountLimitName("yard"),
                                       limits::AccountLimitName("free")};
  for (const std::string& name : names) {
    const limits::LimitRef ref{name, 100, 0};
    limits::AcquireAll(fixture.context.accounts.limiter, {&ref, 1},
                       fixture.now);
  }
  fixture.RunSecond(1);
  int restricted = 0;
  int unrestricted = 0;
  for (const auto& [key, item] : fixture.state.membership.items) {
    if (item.payload.find("account/yard") != std::string::npos) {
      CHECK(item.key.ends_with("@litoral"));
      ++restricted;
    }
    if (item.payload.find("account/free") != std::string::npos) {
      CHECK(item.key.find('@') == std::string::npos);
      ++unrestricted;
    }
  }
  CHECK(restricted == 1);
  CHECK(unrestricted == 1);
}

TEST_CASE("the load is published only if it changes by more than a tenth") {
  Fixture fixture;
  fixture.RunSecond(100);
  CHECK(fixture.PublishedLoad() == "100");
  fixture.RunSecond(109);
  CHECK(fixture.PublishedLoad() == "100");
  fixture.RunSecond(120);
  CHECK(fixture.PublishedLoad() == "120");
  fixture.RunSecond(0);
  CHECK(fixture.PublishedLoad() == "0");
  // Less than half a request per second rounds to a load of 0.
  const auto version = fixture.state.next_item_version;
  fixture.now += base::seconds{2};
  fixture.RunSecond(1);
  CHECK(fixture.state.next_item_version == version);
}

TEST_CASE("a malformed load item is ignored") {
  Fixture fixture;
  const base::DaemonId other{2};
  const auto receive = [&](const std::string& payload) {
    HandleLoadItem(fixture.state, {static_cast<std::uint32_t>(ItemKind::kLoad),
                                   base::ToString(other), 1, payload});
    return fixture.state.ownership.owner_load[other];
  };
  CHECK(receive("70") == 70);
  for (const char* bad : {"", "-1", "1e9", "12x", "9999999999"}) {
    CHECK(receive(bad) == 70);
  }
}

}  // namespace eelgrassbridge::daemon
