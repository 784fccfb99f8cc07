// Tests the admin endpoints: only a token with the required scope may read or
// change anything, and an operator whose change loses a race receives the
// winning catalogue.
#include "eelgrassbridge/daemon/admin_handler.hpp"

#include <doctest/doctest.h>

#include "eelgrassbridge/catalogue/catalogue_json.hpp"
#include "eelgrassbridge/catalogue/read_catalogue.hpp"
#include "eelgrassbridge/daemon/admin_access.hpp"
#include "source_path.hpp"

namespace eelgrassbridge::daemon {

namespace {

using settings::OperatorScope;
using settings::OperatorToken;

constexpr std::int64_t kNowMs = 1'800'000'000'000;

OperatorToken Token(const std::string& name,
                    std::vector<OperatorScope> scopes) {
  return {name, Sha256Hex(name + "-secret"), std::move(scopes), {}};
}

struct Fixture {
  Fixture() {
    const auto read = catalogue::ReadCatalogueFile(
        test::SourcePath("examples/astillas/catalogue.yaml"));
    catalogue::Catalogue first = read.value();
    first.version = 1;
    first.changed_by = "winner";
    this->current = std::make_shared<catalogue::Catalogue>(first);
    this->hooks.read_catalogue = [this] { return this->current; };
    this->hooks.submit_change = [this](const CatalogueChange& change) {
      this->submitted.push_back(change);
      return this->result;
    };
    this->hooks.read_status = [] { return FleetStatus{}; };
    this->hooks.read_burn = [] { return std::string("{}"); };
    this->hooks.read_history = [](std::uint32_t limit) {
      return std::vector<HistoryEntry>(limit);
    };
    this->operators[3].expires = kNowMs / 1000;
  }

  AdminResponse Send(const std::string& method,
                     const std::string& target,
                     const std::string& token_name,
                     std::string body = {}) {
    return HandleAdminRequest(
        {this->operators, this->hooks, this->counters, kNowMs},
        {method,
         target,
         {{"authorization", "Bearer " + token_name + "-secret"}},
         std::move(body)});
  }

  AdminResponse Change(const std::string& token_name,
                       const catalogue::Catalogue& next,
                       std::uint64_t expected = 1,
                       bool allow_unsafe = false) {
    return this->Send(
        "POST", "/admin/catalogue", token_name,
        WriteChangeJson({expected, std::string(32, 'a'), allow_unsafe, next}));
  }

  std::int64_t RefusedCount(const std::string& reason) {
    return base::GetCounter(this->counters, "operator_refused_total",
                            "reason=\"" + reason + "\"")
        .load();
  }

  std::shared_ptr<const catalogue::Catalogue> current;
  std::vector<CatalogueChange> submitted;
  ChangeResult result{ChangeResult::Status::kAccepted, {}, {}};
  AdminHooks hooks;
  base::CounterRegistry counters;
  std::vector<OperatorToken> operators{
      Token("reader", {OperatorScope::kRead}),
      Token("editor", {OperatorScope::kChangeCatalogue}),
      Token("drainer", {OperatorScope::kTakeOut}),
      Token("expired", {OperatorScope::kRead})};
};

catalogue::Catalogue WithDataCentresOut(const Fixture& fixture,
                                        std::vector<std::string> data_centres) {
  catalogue::Catalogue next = *fixture.current;
  for (std::string& name : data_centres) {
    next.out_of_service.push_back(
        {catalogue::OutOfService::What::kDataCentre, std::move(name), false});
  }
  return next;
}

}  // namespace

TEST_CASE("unknown, expired and missing tokens are refused and counted") {
  Fixture fixture;
  CHECK(fixture.Send("GET", "/admin/status", "stranger").status == 401);
  CHECK(fixture.Send("GET", "/admin/status", "expired").status == 401);
  const AdminRequest without_token{"GET", "/admin/status", {}, {}};
  CHECK(HandleAdminRequest(
            {fixture.operators, fixture.hooks, fixture.counters, kNowMs},
            without_token)
            .status == 401);
  CHECK(fixture.RefusedCount("unauthorized") == 3);
  CHECK(fixture.Send("GET", "/admin/status", "reader").status == 200);
}

TEST_CASE("each scope allows only its own endpoints") {
  Fixture fixture;
  catalogue::Catalogue edited = *fixture.current;
  edited.accounts.pop_back();
  const auto drained = WithDataCentresOut(fixture, {"sur-cerro"});
  CHECK(fixture.Send("GET", "/admin/catalogue", "editor").status == 403);
  CHECK(fixture.Change("reader", edited).status == 403);
  CHECK(fixture.Change("drainer", edited).status == 403);
  CHECK(fixture.Change("editor", drained).status == 403);
  CHECK(fixture.RefusedCount("forbidden") == 4);
  CHECK(fixture.submitted.empty());
  CHECK(fixture.Change("editor", edited).status == 200);
  CHECK(fixture.Change("drainer", drained).status == 200);
  REQUIRE(fixture.submitted.size() == 2);
  CHECK(fixture.submitted[1].next.version == 2);
  CHECK(fixture.submitted[1].next.changed_by == "drainer");
  CHECK(fixture.submitted[1].next.changed_at_ms == kNowMs);
}

TEST_CASE("a version conflict returns the winner, before and at the write") {
  Fixture fixture;
  const auto next = WithDataCentresOut(fixture, {"sur-cerro"});
  const AdminResponse stale = fixture.Change("drainer", next, 0);
  CHECK(stale.status == 409);
  CHECK(stale.body.find("version 1 by winner") != std::string::npos);
  CHECK(stale.body.find("\"sur-canelones\"") != std::string::npos);
  CHECK(fixture.submitted.empty());
  fixture.result = {ChangeResult::Status::kConflict, *fixture.current, {}};
  CHECK(fixture.Change("drainer", next).status == 409);
  fixture.result.status = ChangeResult::Status::kUnknown;
  CHECK(fixture.Change("drainer", next).status == 504);
  fixture.result.status = ChangeResult::Status::kUnavailable;
  CHECK(fixture.Change("drainer", next).status == 503);
  CHECK(fixture.Change("drainer", next, 9).status == 503);
  CHECK(fixture.submitted.size() == 3);
}

TEST_CASE("unsafe, empty and malformed changes are not submitted") {
  Fixture fixture;
  const auto unsafe =
      WithDataCentresOut(fixture, {"sur-cerro", "sur-canelones"});
  const AdminResponse refused = fixture.Change("drainer", unsafe);
  CHECK(refused.status == 409);
  CHECK(refused.body.find("unsafe_change") != std::string::npos);
  CHECK(fixture.Change("drainer", *fixture.current).status == 400);
  CHECK(fixture.Send("POST", "/admin/catalogue", "editor", "{}").status == 400);
  CHECK(
      fixture
          .Send("POST", "/admin/catalogue", "editor", std::string(100'000, '['))
          .status == 400);
  CHECK(fixture.submitted.empty());
  CHECK(fixture.Change("drainer", unsafe, 1, true).status == 200);
}

TEST_CASE("a change of the group count is rejected even with allow_unsafe") {
  Fixture fixture;
  catalogue::Catalogue next = *fixture.current;
  next.services[0].instances += 1;
  CHECK(fixture.Change("editor", next, 1, true).status == 400);
  CHECK(fixture.submitted.empty());
}

TEST_CASE("the history limit must be within its bounds") {
  Fixture fixture;
  const auto limited = fixture.Send("GET", "/admin/history?limit=3", "reader");
  CHECK(ReadHistoryJson(limited.body).value().size() == 3);
  CHECK(fixture.Send("GET", "/admin/history?limit=0", "reader").status == 400);
  CHECK(fixture.Send("GET", "/admin/history?limit=9x", "reader").status == 400);
  CHECK(fixture.Send("GET", "/admin/none", "reader").status == 404);
}

TEST_CASE("a site without a catalogue is read as version 0") {
  Fixture fixture;
  fixture.current = nullptr;
  const auto empty = fixture.Send("GET", "/admin/catalogue", "reader");
  CHECK(ReadCatalogueReply(empty.body).value().version == 0);
}

}  // namespace eelgrassbridge::daemon
