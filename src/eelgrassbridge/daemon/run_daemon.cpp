// Start and planned stop of a daemon.
#include "eelgrassbridge/daemon/run_daemon.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>

#include "eelgrassbridge/base/log.hpp"
#include "eelgrassbridge/daemon/control_thread.hpp"
#include "eelgrassbridge/daemon/hedger.hpp"
#include "eelgrassbridge/daemon/http_server.hpp"

namespace eelgrassbridge::daemon {

namespace {

void WaitForStopSignal() {
  asio::io_context context;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([](const std::error_code&, int) {});
  context.run();
}

}  // namespace

base::Result<void> RunDaemon(const settings::Settings& settings,
                             const catalogue::Catalogue& initial_catalogue) {
  base::ConfigureLog(settings.log);
  // A caller that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  RequestContext context(settings);
  Hedger hedger(context);
  context.hedger = &hedger;
  BOOST_OUTCOME_TRY(control,
                    StartControl(settings, initial_catalogue, context));
  HttpServer server;
  BOOST_OUTCOME_TRY(StartHttpServer(server, context));
  base::LogChange("daemon_started", {{"name", settings.name},
                                     {"data_centre", settings.data_centre}});
  WaitForStopSignal();
  context.draining = true;
  base::LogChange("daemon_draining", {{"name", settings.name}});
  // Callers are served until the groups are moved: the receivers cannot serve
  // them earlier, and requests that arrive meanwhile are forwarded.
  BeginControlDrain(*control);
  if (!WaitForControlDrain(*control)) {
    base::LogChange("drain_timed_out", {}, base::LogLevel::kWarning);
  }
  StopHttpServer(server);
  StopControl(*control);
  base::LogChange("daemon_stopped", {{"name", settings.name}});
  return base::outcome::success();
}

}  // namespace eelgrassbridge::daemon
