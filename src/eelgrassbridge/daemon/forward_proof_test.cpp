// Tests that a caller cannot pass its request off as forwarded by a daemon and
// thereby bypass its limits.
#include "eelgrassbridge/daemon/forward_proof.hpp"

#include "request_path_test_support.hpp"

namespace eelgrassbridge::daemon {

TEST_CASE("only a recent proof made with the key of the site is valid") {
  constexpr std::int64_t kNow = 1'700'000'000'000;
  constexpr std::int64_t kMinute = 60'000;
  const std::string proof = MakeForwardProof("site secret", kNow);
  CHECK(IsValidForwardProof("site secret", proof, kNow));
  CHECK(IsValidForwardProof("site secret", proof, kNow - kMinute));
  CHECK(IsValidForwardProof("site secret", proof, kNow + kMinute));
  CHECK_FALSE(IsValidForwardProof("site secret", proof, kNow + 4 * kMinute));
  CHECK_FALSE(IsValidForwardProof("other secret", proof, kNow));
  CHECK_FALSE(IsValidForwardProof("site secret", proof.substr(0, 20), kNow));
  CHECK_FALSE(IsValidForwardProof("site secret", proof + "0", kNow));
  CHECK_FALSE(IsValidForwardProof("site secret", "1", kNow));
  CHECK_FALSE(IsValidForwardProof("site secret", "", kNow));
  // Changing the minute invalidates the MAC.
  std::string moved = proof;
  moved[7] = moved[7] == '9' ? '8' : static_cast<char>(moved[7] + 1);
  CHECK_FALSE(IsValidForwardProof("site secret", moved, kNow));
}

TEST_CASE("a caller cannot bypass its limit by sending a hop count") {
  FakeTarget target;
  Daemon daemon(target.port, kPort);
  daemon.settings.keys = settings::PeerKeys{"public", "secret", {}};
  catalogue::Catalogue catalogue = ListingCatalogue();
  catalogue.accounts.push_back({"small", {"sur"}, {1, 0, 0}});
  daemon.context.routing.view = MakeStandaloneView(daemon.settings, catalogue);
  httplib::Client caller("127.0.0.1", kPort);
  httplib::Headers headers = kKey;
  headers.emplace("Eelgrassbridge-Account", "small");
  headers.emplace("Eelgrassbridge-Hops", "1");
  CHECK(OutcomeOf(caller.Get("/s/listing/view/1", headers)) == "answered ");
  CHECK(OutcomeOf(caller.Get("/s/listing/view/1", headers)) ==
        "not-run account_limit");
  headers.emplace("Eelgrassbridge-Forward-Proof",
                  MakeForwardProof("secret", base::UnixMilliseconds()));
  CHECK(OutcomeOf(caller.Get("/s/listing/view/1", headers)) == "answered ");
}

}  // namespace eelgrassbridge::daemon
