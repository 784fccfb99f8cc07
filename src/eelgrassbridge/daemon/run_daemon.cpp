// Starts a daemon and performs its planned stop.
#include "eelgrassbridge/daemon/run_daemon.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <optional>

#include "eelgrassbridge/base/log.hpp"
#include "eelgrassbridge/daemon/control_thread.hpp"
#include "eelgrassbridge/daemon/hedger.hpp"
#include "eelgrassbridge/daemon/http_server.hpp"
#include "eelgrassbridge/report/burn_snapshot.hpp"

namespace eelgrassbridge::daemon {

namespace {

constexpr std::chrono::seconds kTlsReloadInterval{5};

/// @brief Polls the certificate files and reloads the certificate when they
/// have changed.
struct TlsReloader {
  TlsReloader(asio::io_context& context,
              HttpServer& http_server,
              const settings::TlsSettings& tls_files)
      : timer(context), server(http_server), files(tls_files) {}

  asio::steady_timer timer;
  HttpServer& server;
  const settings::TlsSettings& files;
};

void ScheduleTlsReload(TlsReloader& reloader) {
  reloader.timer.expires_after(kTlsReloadInterval);
  reloader.timer.async_wait([&reloader](const std::error_code& error) {
    if (error) {
      return;
    }
    const auto changed = ReloadTls(reloader.server.tls, reloader.files);
    if (changed && changed.value()) {
      base::LogEvent("tls_certificate_reloaded");
    }
    ScheduleTlsReload(reloader);
  });
}

void WaitForStopSignal(HttpServer& server, const settings::Settings& settings) {
  asio::io_context context;
  std::optional<TlsReloader> reloader;
  if (settings.tls) {
    reloader.emplace(context, server, *settings.tls);
    ScheduleTlsReload(*reloader);
  }
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait(
      [&context](const std::error_code&, int) { context.stop(); });
  context.run();
}

std::string BurnJson(const settings::Settings& settings,
                     const RequestContext& context) {
  const auto view = context.routing.view.load();
  const base::DaemonId self = view == nullptr ? base::DaemonId{} : view->self;
  return report::WriteSnapshotJson(
      report::TakeSnapshot(context.burn, base::ToString(self), settings.name,
                           base::UnixMilliseconds() / 1000));
}

}  // namespace

base::Result<void> RunDaemon(const settings::Settings& settings,
                             const catalogue::Catalogue& initial_catalogue) {
  base::ConfigureLog(settings.log);
  // A write to a connection that the caller closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  RequestContext context(settings);
  Hedger hedger(context);
  context.hedger = &hedger;
  BOOST_OUTCOME_TRY(control,
                    StartControl(settings, initial_catalogue, context));
  AdminHooks admin = MakeAdminHooks(*control);
  admin.read_burn = [&] { return BurnJson(settings, context); };
  HttpServer server;
  BOOST_OUTCOME_TRY(StartHttpServer(server, context, admin));
  base::LogEvent("daemon_started", {{"name", settings.name},
                                    {"data_centre", settings.data_centre}});
  WaitForStopSignal(server, settings);
  // A second signal during the drain must not abort requests in flight.
  std::signal(SIGTERM, SIG_IGN);
  std::signal(SIGINT, SIG_IGN);
  context.draining = true;
  base::LogEvent("daemon_draining", {{"name", settings.name}});
  // Connections stay open until the groups have been moved: the receivers
  // cannot serve a group earlier, and requests that arrive meanwhile are
  // forwarded.
  BeginControlDrain(*control);
  if (!WaitForControlDrain(*control)) {
    base::LogEvent("drain_timed_out", {}, base::LogLevel::kWarning);
  }
  DrainConnections(server);
  StopHttpServer(server);
  StopControl(*control);
  base::LogEvent("daemon_stopped", {{"name", settings.name}});
  return base::outcome::success();
}

}  // namespace eelgrassbridge::daemon
