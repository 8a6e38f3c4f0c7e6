// The parts that entry and agent processes share.
#include "fleet_process.h"

#include <csignal>
#include <utility>

#include "bambooquay/runtime/log.h"
#include "bambooquay/runtime/tracing.h"

namespace bambooquay {

FleetProcess::FleetProcess(const ProcessSettings& process_settings)
    : settings(process_settings),
      runtime(loop),
      table(MakeTableClient(loop, settings.platform.table)),
      objects(MakeObjectClient(loop, settings.platform.objects)),
      instances(MakeInstanceListClient(loop, settings.platform.instances)),
      repository(*table, *objects),
      pool(runtime),
      membership(loop, *instances, settings.id),
      sync(loop, repository, membership, pool, documents, random),
      tracer(MakeTracer(loop, settings.id.value(), settings.span_collector)) {}

FleetProcess::~FleetProcess() = default;

void FleetProcess::DrainOnSignal(std::function<void()> drain) {
  const auto start_drain = [this, drain = std::move(drain)] {
    if (drain_limit_timer != nullptr) {
      return;
    }
    LogEvent(LogLevel::kInfo, "drain_started");
    drain_limit_timer =
        loop.After(settings.drain_limit, [this] { loop.Stop(); });
    drain();
  };
  for (const int signal : {SIGTERM, SIGINT}) {
    loop.OnSignal(signal, start_drain);
  }
}

void FleetProcess::StopAfter(Duration delay) {
  stop_timer = loop.After(delay, [this] { loop.Stop(); });
}

}  // namespace bambooquay
