// Guards the settings reader: an invalid file is rejected with a list of all
// problems, and no input crashes the reader.
#include "eelgrassbridge/settings/read_settings.hpp"
#include "source_path.hpp"

#include <doctest/doctest.h>

#include <filesystem>
#include <set>

namespace eelgrassbridge::settings {

namespace {

constexpr std::string_view kValid = R"(site: astillas
name: listing-1
region: sur
data_centre: sur-cerro
http: 127.0.1.1:8101
peer: "[::1]:9101"
target: {address: "127.0.1.1:7101", service: listing}
store: memory
)";

std::string ErrorOf(std::string_view yaml) {
  const auto read = ReadSettings(yaml, "d.yaml");
  REQUIRE_FALSE(read.has_value());
  CHECK(read.error().kind == base::ErrorKind::kSettingsInvalid);
  return read.error().detail;
}

bool Has(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("a valid file is read with units and defaults") {
  const auto read = ReadSettings(
      std::string(kValid) + "drain_timeout: 1500ms\nmax_body_bytes: 2MiB\n" +
          "operators: [{name: ana, sha256: " + std::string(64, 'a') +
          ", scopes: [read, take_out], expires: 2027-01-31T00:00:00Z}]\n",
      "d.yaml");
  REQUIRE_MESSAGE(read.has_value(), read.error().detail);
  const Settings& settings = read.value();
  CHECK(settings.peer == Address{"::1", 9101});
  CHECK(settings.store.in_memory);
  CHECK(settings.drain_timeout == base::milliseconds{1500});
  CHECK(settings.max_body_bytes == 2U * 1024 * 1024);
  CHECK(settings.operators[0].expires == 1801353600);
  CHECK(settings.operators[0].scopes[1] == OperatorScope::kTakeOut);
}

TEST_CASE(
    "all problems are reported at once with their lines and valid values") {
  const std::string error = ErrorOf(R"(site: Astillas
name: listing-1
region: sur
http: localhost:8101
peer: 127.0.0.1
colour: green
drain_timeout: 30
max_body_bytes: 16MB
http_workers: 0
http_workers: 4
target: {address: 127.0.0.1:1, service: listing, slots: many}
store: {address: 127.0.0.1:99999, timeout: 1 s}
lease: {promise_interval: 1500ms}
log: {level: loud}
tls: {key_file: k.pem}
)");
  for (const std::string_view part :
       {"d.yaml:1: site: 'Astillas' is invalid; expected a name",
        "d.yaml:1: data_centre: required field is missing",
        "d.yaml:4: http: 'localhost:8101' is invalid; expected an IP",
        "d.yaml:5: peer: '127.0.0.1'",
        "d.yaml:6: unknown field 'colour'; known fields: site, name",
        "d.yaml:7: drain_timeout: '30' is invalid; expected a duration",
        "d.yaml:8: max_body_bytes: '16MB'", "d.yaml:9: http_workers: '0'",
        "d.yaml:10: http_workers: duplicate field",
        "d.yaml:11: target.slots: 'many'",
        "d.yaml:12: store.address:", "d.yaml:12: store.timeout: '1 s'",
        "d.yaml:13: lease.promise_interval: must be at most half",
        "d.yaml:14: log.level: 'loud' is invalid; expected debug or",
        "d.yaml:15: tls.certificate_file: required field is missing"}) {
    CHECK_MESSAGE(Has(error, part), part << " not in\n" << error);
  }
}

TEST_CASE("an invalid secret key is not printed") {
  const std::string error =
      ErrorOf(std::string(kValid) +
              "keys: {public_key: short, secret_key: \"hidden value\"}\n");
  CHECK(Has(error, "keys.secret_key: expected a CURVE key"));
  CHECK_FALSE(Has(error, "hidden value"));
}

TEST_CASE("a daemon without keys is rejected on a non-loopback address") {
  std::string text(kValid);
  text.replace(text.find("\"[::1]:9101\""), 12, "10.0.0.1:9101");
  CHECK(Has(ErrorOf(text), "d.yaml:6: peer: keys is missing"));
}

// Such input would overflow the stack of a recursive parser, and would take
// gigabytes of memory without limits.
TEST_CASE("large, deeply nested and self-referencing documents are rejected") {
  const std::string deep(1'000'000, '[');
  CHECK(Has(ErrorOf(deep), "the maximum file size is"));
  CHECK(Has(ErrorOf("a: " + deep.substr(0, 200'000)), "nested deeper"));
  std::string block;
  for (int i = 0; i < 400; ++i) {
    block += std::string(static_cast<std::size_t>(i), ' ') + "a:\n";
  }
  CHECK(Has(ErrorOf(block), "nested deeper"));
  std::string many = "seeds: [";
  for (int i = 0; i < 20'000; ++i) {
    many += "a,";
  }
  CHECK(Has(ErrorOf(many + "a]"), "more than 5000 values"));
  CHECK(Has(ErrorOf("a: &x 1\nb: *x\n"), "anchors"));
  CHECK(Has(ErrorOf("a: *x\n"), "invalid YAML"));
  CHECK(Has(ErrorOf("a: !!binary x\n"), "tags"));
  CHECK(Has(ErrorOf("a: [1\n"), "invalid YAML"));
  CHECK(Has(ErrorOf(""), "empty"));
  CHECK(Has(ErrorOf("a: 1\n---\nb: 2\n"), "second document"));
  CHECK(Has(ErrorOf(std::string("a: \0", 4)), "NUL"));
}

TEST_CASE("the example files are valid and their addresses are distinct") {
  std::set<std::string> addresses;
  std::size_t files = 0;
  for (const char* site : {"astillas", "hanbit"}) {
    for (const auto& entry : std::filesystem::directory_iterator(
             test::SourcePath("examples/") + site)) {
      if (entry.path().filename() == "catalogue.yaml") {
        continue;
      }
      const auto read = ReadSettingsFile(entry.path().string());
      REQUIRE_MESSAGE(read.has_value(), read.error().detail);
      ++files;
      for (const Address& address : {read.value().http, read.value().peer,
                                     read.value().target.address}) {
        CHECK(addresses.insert(ToString(address)).second);
      }
    }
  }
  CHECK(files == 13 + 14);
}

}  // namespace eelgrassbridge::settings
