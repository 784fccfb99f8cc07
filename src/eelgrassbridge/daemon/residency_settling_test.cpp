// Tests that a key is not served by two daemons while a change of home regions
// propagates.
#include "eelgrassbridge/daemon/residency_settling.hpp"

#include <doctest/doctest.h>

#include "request_path_test_support.hpp"

namespace eelgrassbridge::daemon {

namespace {

const base::TimePoint kNow = base::FromMicroseconds(1'000'000'000);
constexpr std::int64_t kNowMs = 1'700'000'000'000;

struct Change {
  Change() {
    this->before = ListingCatalogue();
    this->before.accounts = {{"yard", {"sur"}, {}}, {"other", {"sur"}, {}}};
    this->after = this->before;
    this->after.version = 2;
    this->after.changed_at_ms = kNowMs;
    this->after.accounts[0].home_regions = {"litoral", "sur"};
  }

  bool IsSettling(std::string_view account, base::Duration later) const {
    const auto& known = *std::ranges::find(this->after.accounts, account,
                                           &catalogue::ClientAccount::name);
    return IsResidencySettling(this->replaced_catalogues,
                               this->after.services[0], account,
                               known.home_regions, kNow + later);
  }

  catalogue::Catalogue before;
  catalogue::Catalogue after;
  std::vector<ReplacedCatalogue> replaced_catalogues;
};

}  // namespace

TEST_CASE("only the keys of a changed account settle, for a limited time") {
  Change change;
  RecordReplacedCatalogue(
      change.replaced_catalogues,
      std::make_shared<const catalogue::Catalogue>(change.before), change.after,
      kNow, kNowMs);
  CHECK(change.IsSettling("yard", base::Duration{0}));
  CHECK(change.IsSettling("yard", base::milliseconds{3999}));
  CHECK_FALSE(change.IsSettling("yard", base::seconds{4}));
  CHECK_FALSE(change.IsSettling("other", base::Duration{0}));
}

TEST_CASE("a second change does not end the settling time of the first") {
  Change change;
  RecordReplacedCatalogue(
      change.replaced_catalogues,
      std::make_shared<const catalogue::Catalogue>(change.before), change.after,
      kNow, kNowMs);
  catalogue::Catalogue third = change.after;
  third.version = 3;
  RecordReplacedCatalogue(
      change.replaced_catalogues,
      std::make_shared<const catalogue::Catalogue>(change.after), third,
      kNow + base::seconds{1}, kNowMs + 1000);
  CHECK(change.IsSettling("yard", base::seconds{2}));
}

TEST_CASE("the settling time applies to a daemon started after a change") {
  Change change;
  RecordReplacedCatalogue(change.replaced_catalogues, nullptr, change.after,
                          kNow, kNowMs + 1000);
  CHECK(change.IsSettling("yard", base::milliseconds{2900}));
  CHECK_FALSE(change.IsSettling("yard", base::seconds{3}));
  Change first;
  first.after.version = 1;
  RecordReplacedCatalogue(first.replaced_catalogues, nullptr, first.after, kNow,
                          kNowMs);
  CHECK_FALSE(first.IsSettling("yard", base::Duration{0}));
}

TEST_CASE("requests for settling keys are refused and not run") {
  FakeTarget target;
  Daemon daemon(target.port, kPort);
  Change change;
  auto view = std::make_shared<RoutingView>(
      *MakeStandaloneView(daemon.settings, change.after));
  RecordReplacedCatalogue(
      view->replaced_catalogues,
      std::make_shared<const catalogue::Catalogue>(change.before), change.after,
      base::BootClock::now(), kNowMs);
  daemon.context.routing.view = view;
  httplib::Client caller("127.0.0.1", kPort);
  httplib::Headers headers = kKey;
  headers.emplace("Eelgrassbridge-Deadline-Ms", "100");
  httplib::Headers moving = headers;
  moving.emplace("Eelgrassbridge-Account", "yard");
  CHECK(OutcomeOf(caller.Get("/s/listing/view/1", moving)) ==
        "not-run no_owner");
  CHECK(target.runs == 0);
  headers.emplace("Eelgrassbridge-Account", "other");
  CHECK(OutcomeOf(caller.Get("/s/listing/view/1", headers)) == "answered ");
}

}  // namespace eelgrassbridge::daemon
