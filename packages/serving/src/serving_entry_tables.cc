// The entry on a hosted platform: handling of the store's tables.
#include <algorithm>
#include <utility>

#include "bambooquay/runtime/log.h"
#include "bambooquay/serving/serving_entry.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

// A row that a peer has had for this long should have arrived from the store
// too. If not, the response to the watch may be lost.
constexpr Duration kMaxTimeBehind = milliseconds(600);

}  // namespace

void ServingEntry::HandleOperatorRow(const TableRow& row) {
  const OperatorRow kind = m_deps.document_codec.ClassifyOperatorRow(row.key);
  if (const auto* disabled = std::get_if<DisabledDataCentreRow>(&kind)) {
    LogEvent(LogLevel::kInfo, "data_centre")
        .With("datacentre", disabled->data_centre.value())
        .With("out", row.deleted ? "no" : "yes")
        .With("version", row.version);
    m_upstreams.SetDataCentreDisabled(disabled->data_centre, !row.deleted);
  } else if (std::holds_alternative<ConfigurationRow>(kind) && !row.deleted) {
    ApplyConfiguration(row);
  }
}

void ServingEntry::ApplyConfiguration(const TableRow& row) {
  const TimePoint started_at = m_deps.loop.clock().Now();
  auto decoded = m_deps.document_codec.DecodeConfiguration(row.value);
  if (const auto* failure = std::get_if<DecodeFailure>(&decoded)) {
    LogEvent(LogLevel::kError, "configuration_unreadable")
        .With("error", failure->description)
        .With("version", row.version);
    return;
  }
  auto& configuration = std::get<FleetConfiguration>(decoded);
  if (m_active_configuration != nullptr &&
      configuration.version < m_active_configuration->configuration.version) {
    LogEvent(LogLevel::kWarning, "configuration_older")
        .With("version", configuration.version);
    return;
  }
  m_active_configuration =
      std::make_shared<const ActiveConfiguration>(std::move(configuration));
  m_stream_routes.Apply(m_active_configuration);
  NoteStreamOrigins();
  const FleetConfiguration& active = m_active_configuration->configuration;
  for (const ServingOrganisation& organisation : active.organisations) {
    m_allowance.Configure(organisation.name, organisation.rate,
                          organisation.burst);
  }
  std::set<ServiceName> engine_services;
  for (const ServingService& service : active.services) {
    m_upstreams.SetColdRate(service.name, service.cold_requests_per_second);
    if (service.engine.has_value()) {
      engine_services.insert(service.name);
    }
  }
  m_upstreams.SetEngineServices(std::move(engine_services));
  m_server.SetLimits(CallerLimits(active.caller_limits));
  LogEvent(LogLevel::kInfo, "configuration_in_force")
      .With("version", active.version)
      .With("routes", active.routes.size())
      .With("organisations", active.organisations.size())
      .With("idle_limit_ms",
            active.caller_limits.idle_timeout / milliseconds(1))
      .With("took_ms",
            (m_deps.loop.clock().Now() - started_at) / milliseconds(1));
}

void ServingEntry::HandleUpstreamRow(const TableRow& row) {
  const UpstreamId id(row.key);
  if (row.deleted) {
    m_upstream_rows.UseShortPause();
    const Duration grace = m_expiry_grace.Remaining();
    LogEvent(LogLevel::kInfo, "upstream_gone")
        .With("upstream", row.key)
        .With("grace_ms", grace / milliseconds(1))
        .With("gap_ms",
              m_upstream_rows.last_response_gap().value_or(Duration::zero()) /
                  milliseconds(1));
    m_upstreams.Remove(id, grace);
    return;
  }
  const auto decoded = m_deps.document_codec.DecodeUpstream(row.key, row.value);
  if (const auto* failure = std::get_if<DecodeFailure>(&decoded)) {
    LogEvent(LogLevel::kWarning, "upstream_unreadable")
        .With("upstream", row.key)
        .With("error", failure->description);
    m_upstreams.Remove(id, Duration::zero());
    return;
  }
  const auto& record = std::get<UpstreamRecord>(decoded);
  const Upstream* previous = m_upstreams.Find(id);
  if (previous == nullptr || previous->record.draining != record.draining) {
    m_upstream_rows.UseShortPause();
    LogEvent(LogLevel::kInfo, "upstream_listed")
        .With("upstream", row.key)
        .With("address", record.address.ToString())
        .With("service", record.service.value())
        .With("software_version", record.software_version.value())
        .With("draining", record.draining ? "yes" : "no")
        .With("cold_ms", record.cold_remaining / milliseconds(1));
  }
  m_upstreams.Put(record);
  m_stream_origins.NoteVersion(record.service, record.software_version);
  // The agent of a new engine reports only once it knows of this entry; until
  // then the engine can neither be used nor get a target.
  const Upstream* listed = m_upstreams.Find(id);
  if (listed->has_engine && !m_upstreams.HasFreshReport(*listed)) {
    m_peers.AnnounceTo(id);
  }
}

void ServingEntry::HandleMemberRow(const TableRow& row) {
  const InstanceId id(row.key);
  if (row.deleted && id == m_settings.id) {
    RegisterMember();
  }
  const auto address = ParseEndpoint(row.value);
  if (row.deleted || !address.has_value()) {
    m_peers.RemovePeer(id);
  } else {
    m_peers.PutPeer(id, *address);
  }
}

std::uint64_t ServingEntry::ActiveVersion() const {
  return m_active_configuration == nullptr
             ? 0
             : m_active_configuration->configuration.version;
}

bool ServingEntry::HasOtherStreamRoutes() const {
  return std::ranges::any_of(m_peers.peers(), [this](const auto& item) {
    const std::uint64_t routes = item.second.status.stream_routes;
    return !m_peers.IsSilent(item.second) && routes != 0 &&
           routes != m_stream_routes.digest();
  });
}

void ServingEntry::FetchTablesIfBehind() {
  const TimePoint now = m_deps.loop.clock().Now();
  const std::uint64_t active_version = ActiveVersion();
  const bool behind =
      std::ranges::any_of(m_peers.peers(), [&](const auto& item) {
        const EntryStatus& status = item.second.status;
        return !m_peers.IsSilent(item.second) &&
               (status.configuration > active_version ||
                status.operators_version > m_operator_rows.position().version);
      });
  if (!behind) {
    m_behind_since.reset();
  } else if (!m_behind_since.has_value()) {
    m_behind_since = now;
  } else if (now - *m_behind_since > kMaxTimeBehind) {
    m_behind_since = now;
    LogEvent(LogLevel::kWarning, "operators_rows_outdated")
        .With("configuration", active_version)
        .With("version", m_operator_rows.position().version);
    m_operator_rows.WatchNow();
    m_operator_rows.ListFromFallback();
    m_upstream_rows.ListFromFallback();
  }
}

}  // namespace bambooquay
