// Tests of the choice of relays at several sizes of a data centre.
#include "eelgrassbridge/node/relay_choice.hpp"

#include <doctest/doctest.h>

#include <map>
#include <set>

#include "eelgrassbridge/base/hash.hpp"

namespace eelgrassbridge::node {
namespace {

/// Daemons of a data centre, with links of 20 to 200 Mbit/s.
struct DataCentre {
  explicit DataCentre(std::size_t size) {
    constexpr std::size_t kLinkClasses = 10;
    constexpr double kSlowestLink = 20;
    for (std::size_t i = 0; i < size; ++i) {
      this->addresses.push_back("10.0.0.1:" + std::to_string(i));
      this->links.push_back(kSlowestLink *
                            static_cast<double>(1 + i % kLinkClasses));
    }
  }

  /// All candidates but those in `failed`.
  std::vector<RelayCandidate> Candidates(
      const std::set<std::string>& failed = {}) const {
    std::vector<RelayCandidate> candidates;
    for (std::size_t i = 0; i < this->addresses.size(); ++i) {
      if (!failed.contains(this->addresses[i])) {
        candidates.push_back({this->addresses[i], this->links[i]});
      }
    }
    return candidates;
  }

  /// Followers by relay; those that read the store themselves under "".
  std::map<std::string, std::size_t> Followers(
      const std::vector<RelayCandidate>& candidates) const {
    std::map<std::string, std::size_t> followers;
    for (const std::string& address : this->addresses) {
      ++followers[RelayOf(candidates, address, base::Hash64(address))];
    }
    return followers;
  }

  std::vector<std::string> addresses;
  std::vector<double> links;
};

TEST_CASE("the daemons that read the store do not grow with each other one") {
  // Guards against calls to the store that grow with the number of daemons: it
  // bounds those that all daemons may make together.
  for (const std::size_t size :
       {std::size_t{1}, std::size_t{30}, std::size_t{300}, std::size_t{3000}}) {
    const DataCentre data_centre(size);
    const RelayOptions options;
    const auto followers = data_centre.Followers(data_centre.Candidates());
    const std::size_t relays =
        (size + options.followers_per_relay - 1) / options.followers_per_relay;
    CHECK(followers.at("") == relays);
    for (const auto& [relay, count] : followers) {
      CHECK(count <= 2 * options.followers_per_relay);
    }
  }
}

TEST_CASE("a daemon alone and one that knows no other read the store") {
  CHECK(RelayOf({}, "10.0.0.1:1", 7).empty());
  const std::vector<RelayCandidate> only = {{"10.0.0.1:1", 20}};
  CHECK(RelayOf(only, "10.0.0.1:1", 7).empty());
}

TEST_CASE("the daemon with the fastest link is the relay") {
  // Guards against a slow link that delays each change for a data centre.
  const std::vector<RelayCandidate> candidates = {
      {"a", 20}, {"b", 200}, {"c", 50}};
  CHECK(RelayOf(candidates, "a", 1) == "b");
  CHECK(RelayOf(candidates, "c", 2) == "b");
  CHECK(RelayOf(candidates, "b", 3).empty());
  CHECK(RankRelays(candidates, 2) == std::vector<std::string>{"b", "c"});
}

TEST_CASE("the next daemon replaces a relay that has failed") {
  // Guards against daemons that go on asking a relay that does not answer.
  const DataCentre data_centre(30);
  const auto first = RankRelays(data_centre.Candidates(), 1).front();
  const auto candidates = data_centre.Candidates({first});
  const auto second = RankRelays(candidates, 1).front();
  CHECK(second != first);
  const auto followers = data_centre.Followers(candidates);
  CHECK(followers.at(second) == 29);
  CHECK(followers.size() == 2);
}

TEST_CASE("unreported reads of a data centre do not grow with its daemons") {
  // Guards against reads that exceed the store's bound at 15,000 daemons.
  for (const std::size_t size :
       {std::size_t{30}, std::size_t{300}, std::size_t{3000}}) {
    const double interval =
        std::chrono::duration<double>(UnreportedReadInterval(size)).count();
    CHECK(static_cast<double>(size) / interval == doctest::Approx(1));
  }
  CHECK(UnreportedReadInterval(3) == base::seconds{8});
}

}  // namespace
}  // namespace eelgrassbridge::node
