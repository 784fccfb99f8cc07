// Guards the commands against the admin endpoints of a daemon: the output and
// the exit code show whether a change was made, rejected or is unknown.
#include "eelgrassbridge/cli/run.hpp"

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

#include "eelgrassbridge/catalogue/diff.hpp"
#include "eelgrassbridge/catalogue/read_catalogue.hpp"
#include "eelgrassbridge/cli/command.hpp"
#include "eelgrassbridge/cli/submit_change.hpp"
#include "eelgrassbridge/daemon/admin_http.hpp"
#include "eelgrassbridge/report/burn_snapshot.hpp"
#include "eelgrassbridge/settings/read_settings.hpp"
#include "source_path.hpp"

namespace eelgrassbridge::cli {

namespace {

using daemon::ChangeResult;

/// Returns the path of a file in examples/.
std::string Example(const std::string& name) {
  return test::SourcePath("examples/") + name;
}

struct Output {
  ExitCode code;
  std::string out;
  std::string err;
};

Output RunCommandLine(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = Run(arguments, out, err);
  return {code, out.str(), err.str()};
}

/// The admin endpoints of a daemon on a loopback port, with a history in
/// memory.
struct Fleet {
  enum class Fault { kNone, kReplyLost, kNeverWritten, kConflict };

  Fleet() {
    this->operators.push_back(
        settings::ReadSettingsFile(Example("astillas/listing-1.yaml"))
            .value()
            .operators[0]);
    this->hooks.read_catalogue = [this] {
      const std::scoped_lock lock(this->mutex);
      return this->current;
    };
    this->hooks.submit_change = [this](const daemon::CatalogueChange& change) {
      return this->Submit(change);
    };
    this->hooks.read_status = [this] { return this->Status(); };
    this->hooks.read_burn = [] {
      report::BurnRecorder recorder;
      report::RecordOutcome(recorder, {"listing", "view", "sur"},
                            base::Outcome::kAnswered, base::milliseconds{9},
                            base::milliseconds{150}, 1'800'000'000);
      return report::WriteSnapshotJson(
          report::TakeSnapshot(recorder, "1", "listing-1", 1'800'000'000));
    };
    this->hooks.read_history = [this](std::uint32_t) {
      const std::scoped_lock lock(this->mutex);
      return base::Result<std::vector<daemon::HistoryEntry>>(this->history);
    };
    daemon::AddAdminHandlers(this->server, this->operators, this->hooks,
                             this->counters);
    this->port = this->server.bind_to_any_port("127.0.0.1");
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    // Calling stop before the server runs would have no effect.
    while (!this->server.is_running()) {
      std::this_thread::yield();
    }
  }

  ~Fleet() {
    this->server.stop();
    this->thread.join();
  }

  ChangeResult Submit(const daemon::CatalogueChange& change) {
    const std::scoped_lock lock(this->mutex);
    ++this->submissions;
    if (this->fault == Fault::kNeverWritten) {
      return {ChangeResult::Status::kUnknown, {}, {}};
    }
    const bool is_conflict = this->fault == Fault::kConflict;
    catalogue::Catalogue accepted = change.next;
    std::string operation_id = change.operation_id;
    if (is_conflict) {
      accepted = *this->current;
      ++accepted.version;
      accepted.changed_by = "rival";
      accepted.accounts.pop_back();
      operation_id = std::string(32, 'f');
    }
    this->history.insert(this->history.begin(), {accepted.version,
                                                 operation_id,
                                                 accepted.changed_by,
                                                 accepted.changed_at_ms,
                                                 accepted.reason,
                                                 {"+ x"}});
    this->current = std::make_shared<catalogue::Catalogue>(accepted);
    if (this->fault == Fault::kReplyLost) {
      return {ChangeResult::Status::kUnknown, {}, {}};
    }
    return {is_conflict ? ChangeResult::Status::kConflict
                        : ChangeResult::Status::kAccepted,
            accepted,
            {}};
  }

  daemon::FleetStatus Status() {
    const std::scoped_lock lock(this->mutex);
    daemon::FleetStatus status;
    status.site = "astillas";
    status.answered_by = "listing-1";
    status.catalogue_version = this->current ? this->current->version : 0;
    const std::string http = "127.0.0.1:" + std::to_string(this->port);
    status.daemons = {
        {"listing-1", "1", http, "sur-cerro", "sur", "listing", "serving",
         status.catalogue_version, 5},
        // Nothing listens on port 1.
        {"booking-1", "2", "127.0.0.1:1", "sur-cerro", "sur", "booking",
         "serving", this->is_booking_late ? 0 : status.catalogue_version, 0}};
    return status;
  }

  Output Run(std::vector<std::string> arguments) const {
    arguments.insert(arguments.end(),
                     {"--address", "127.0.0.1:" + std::to_string(this->port),
                      "--token-file", Example("operator.token")});
    return RunCommandLine(arguments);
  }

  Output ApplyExample() const {
    return this->Run({"catalogue", "apply", Example("astillas/catalogue.yaml"),
                      "--reason", "first"});
  }

  std::mutex mutex;
  std::shared_ptr<const catalogue::Catalogue> current;
  std::vector<daemon::HistoryEntry> history;
  std::atomic<Fault> fault = Fault::kNone;
  std::atomic<int> submissions = 0;
  std::atomic<bool> is_booking_late = false;
  std::vector<settings::OperatorToken> operators;
  daemon::AdminHooks hooks;
  base::CounterRegistry counters;
  httplib::Server server;
  int port = 0;
  std::thread thread;
};

bool Has(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("every subcommand has a unique name, help and version") {
  std::set<std::string_view> names;
  for (const Command& command : AllCommands()) {
    CHECK(names.insert(command.name).second);
    std::vector<std::string> words;
    std::istringstream stream{std::string(command.name)};
    for (std::string word; stream >> word;) {
      words.push_back(word);
    }
    std::vector<std::string> help = words;
    help.emplace_back("--help");
    const Output shown = RunCommandLine(help);
    CHECK(shown.code == ExitCode::kSuccess);
    CHECK(Has(shown.out, command.summary));
    words.emplace_back("--version");
    CHECK(RunCommandLine(words).out == "eelgrassbridge 0.1.0\n");
    words.back() = "--no-such-option";
    CHECK(RunCommandLine(words).code == ExitCode::kUsage);
  }
  CHECK(RunCommandLine({}).code == ExitCode::kUsage);
  CHECK(RunCommandLine({"catalogue"}).code == ExitCode::kUsage);
  CHECK(RunCommandLine({"catalogue", "show", "extra"}).code ==
        ExitCode::kUsage);
  CHECK(RunCommandLine({"check-settings"}).code == ExitCode::kUsage);
  CHECK(RunCommandLine({"status", "--output", "xml"}).code == ExitCode::kUsage);
}

TEST_CASE(
    "a change is applied, shown, in the history, and not submitted twice") {
  Fleet fleet;
  const Output applied = fleet.ApplyExample();
  CHECK_MESSAGE(applied.code == ExitCode::kSuccess, applied.err);
  CHECK(Has(applied.out, "+ service listing"));
  CHECK(Has(applied.out, "accepted as version 1"));
  CHECK(Has(fleet.ApplyExample().out, "no change; version"));
  CHECK(fleet.submissions == 1);
  const Output shown = fleet.Run({"catalogue", "show"});
  const auto again = catalogue::ReadCatalogue(shown.out, "shown");
  REQUIRE_MESSAGE(again.has_value(), again.error().detail);
  CHECK(catalogue::Diff(*fleet.current, again.value()).empty());
  CHECK(Has(fleet.Run({"catalogue", "history"}).out, "version 1 20"));
  const Output out = fleet.Run(
      {"data-centre", "take-out", "sur-cerro", "--output", "json", "--wait"});
  const auto json = nlohmann::json::parse(out.out);
  CHECK(json["version"] == 2);
  CHECK(json["in_force"]["reached"] == 2);
  CHECK(Has(out.err, "in force on 2 of 2 daemons"));
  CHECK(Has(fleet.Run({"data-centre", "list"}).out, "out"));
  // An applied file must not bring the data centre back.
  CHECK(Has(fleet.ApplyExample().out, "no change; version"));
  CHECK(fleet.Run({"data-centre", "bring-back", "sur-cerro"}).code ==
        ExitCode::kSuccess);
  CHECK(fleet.Run({"data-centre", "bring-back", "sur-cerro"}).code ==
        ExitCode::kInvalid);
  CHECK(fleet.Run({"target", "take-out", "listing-9"}).code ==
        ExitCode::kInvalid);
  CHECK(fleet.Run({"target", "take-out", "listing-1", "--dry-run"}).code ==
        ExitCode::kSuccess);
  CHECK(fleet.current->version == 3);
}

TEST_CASE(
    "a lost answer is resolved by the operation id without a resubmission") {
  Fleet fleet;
  fleet.fault = Fleet::Fault::kReplyLost;
  const Output applied = fleet.ApplyExample();
  CHECK(applied.code == ExitCode::kSuccess);
  CHECK(Has(applied.err, "the answer was lost"));
  CHECK(fleet.submissions == 1);
}

TEST_CASE("a version conflict shows the conflicting change") {
  Fleet fleet;
  fleet.ApplyExample();
  fleet.fault = Fleet::Fault::kConflict;
  const Output conflict = fleet.Run({"data-centre", "take-out", "sur-cerro"});
  CHECK(conflict.code == ExitCode::kConflict);
  CHECK(Has(conflict.err, "by rival"));
  CHECK(Has(conflict.err, "- account dispatchers"));
}

TEST_CASE(
    "unsafe changes and unknown tokens are rejected, and failures reported") {
  Fleet fleet;
  fleet.ApplyExample();
  CHECK(fleet.Run({"data-centre", "take-out", "sur-cerro"}).code ==
        ExitCode::kSuccess);
  const Output unsafe = fleet.Run({"data-centre", "take-out", "sur-canelones"});
  CHECK(unsafe.code == ExitCode::kUnsafe);
  CHECK(Has(unsafe.err, "carpinteria-rosello"));
  fleet.operators.clear();
  CHECK(fleet.Run({"status"}).code == ExitCode::kRefused);
  CHECK(RunCommandLine({"status", "--address", "127.0.0.1:1", "--token-file",
                        Example("operator.token")})
            .code == ExitCode::kUnavailable);
  CHECK(RunCommandLine({"status", "--address", "localhost:1"}).code ==
        ExitCode::kInvalid);
}

TEST_CASE("a wait that times out lists the missing daemons") {
  Fleet fleet;
  fleet.is_booking_late = true;
  const Output out =
      fleet.Run({"catalogue", "apply", Example("astillas/catalogue.yaml"),
                 "--wait", "--wait-timeout", "1ms"});
  CHECK(out.code == ExitCode::kWaitTimeout);
  CHECK(Has(out.err, "in force on 1 of 2 daemons; missing: booking-1"));
}

TEST_CASE("the burn report lists daemons that do not answer as missing") {
  Fleet fleet;
  fleet.ApplyExample();
  const Output text = fleet.Run({"report", "burn"});
  CHECK(text.code == ExitCode::kSuccess);
  CHECK(Has(text.out, "missing: booking-1"));
  CHECK(Has(text.out, "listing/view sur: worth 1"));
  CHECK(Has(fleet.Run({"status"}).out, "booking-1"));
  CHECK(Has(fleet.Run({"target", "list"}).out, "listing-1"));
}

TEST_CASE(
    "generated keys differ and the completion script contains the commands") {
  const Output one = RunCommandLine({"keys", "generate", "--output", "json"});
  const Output two = RunCommandLine({"keys", "generate", "--output", "json"});
  CHECK(one.out != two.out);
  const auto json = nlohmann::json::parse(one.out);
  CHECK(json["public_key"].get<std::string>().size() == 40);
  CHECK(json["token"].get<std::string>().size() == 64);
  CHECK(
      Has(RunCommandLine({"completion", "bash"}).out, "\"catalogue apply\")"));
}

}  // namespace eelgrassbridge::cli
