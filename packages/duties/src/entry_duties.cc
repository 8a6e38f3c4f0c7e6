// The duties of one entry: it counts its requests, and performs the duties of
// the fleet while it holds their lease.
#include "bambooquay/duties/entry_duties.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/duties/server_load.h"
#include "bambooquay/duties/usage_window.h"
#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

// The platform may turn away just this machine: another entry takes the duties
// over if calls have failed for this long, and this one does not take them
// back for the pause.
constexpr Duration kMaxFailingTime = milliseconds(2500);
constexpr Duration kHandOverPause = std::chrono::seconds(10);
constexpr Duration kStopPause = std::chrono::hours(1);
// Time for the last counts to leave the machine; they are sent twice.
constexpr Duration kFinishDelay = milliseconds(60);

UnixTime ToUnixTime(Duration duration) {
  return std::chrono::duration_cast<UnixTime>(duration);
}

}  // namespace

EntryDuties::EntryDuties(const DutySettings& settings, InstanceId self,
                         const EntryDutiesDeps& deps)
    : m_settings(settings),
      m_self(std::move(self)),
      m_deps(deps),
      m_started_at(m_wall_clock.Now()),
      m_peers(deps.entry.peer_exchange()),
      m_lease(m_clock, deps.table, m_self, m_peers.incarnation(),
              settings.lease_time),
      m_counter(m_clock, m_wall_clock, ToUnixTime(settings.usage_window)),
      m_reporter(
          m_clock, m_wall_clock, deps.table, deps.client, deps.metrics,
          {ToUnixTime(settings.usage_window),
           ToUnixTime(settings.usage_lateness), m_counter.first_window()},
          [this] { return ListSources(); }) {
  if (settings.reports_usage) {
    deps.entry.SetRunSink(m_counter);
  }
  if (settings.orders_servers) {
    m_server_count = std::make_unique<ServerCountDuty>(
        ServerCountDutyDeps{m_clock, deps.client, deps.metrics,
                            [this] { return MeasureScaledServices(); }});
  }
  m_lease.OnNews([this] { SendNotice(); });
  m_peers.OnDutyMessage(
      [this](const StatusMessage& message) { HandleMessage(message); });
  RegisterGauges();
}

void EntryDuties::RegisterGauges() {
  Metrics& metrics = m_deps.metrics;
  metrics.RegisterGauge("duty_holder",
                        [this] { return m_lease.is_holder() ? 1.0 : 0.0; });
  metrics.RegisterGauge("duty_fencing_token", [this] {
    return static_cast<double>(m_lease.fencing_token());
  });
  const auto to_seconds = [](const std::optional<Duration>& age) {
    return age.has_value() ? ToSeconds(*age) : -1.0;
  };
  metrics.RegisterGauge("duty_lease_renewal_age_seconds", [this, to_seconds] {
    return to_seconds(m_lease.RenewalAge());
  });
  if (m_settings.reports_usage) {
    metrics.RegisterGauge(
        "duty_success_age_seconds{duty=\"usage\"}",
        [this, to_seconds] { return to_seconds(m_reporter.SuccessAge()); });
    metrics.RegisterGauge("usage_runs_unknown", [this] {
      return static_cast<double>(m_counter.unknown_runs());
    });
  }
  if (m_server_count != nullptr) {
    metrics.RegisterGauge("duty_success_age_seconds{duty=\"server_count\"}",
                          [this, to_seconds] {
                            return to_seconds(m_server_count->SuccessAge());
                          });
  }
}

void EntryDuties::Start() {
  for (const std::string& name : m_settings.unknown_names) {
    LogEvent(LogLevel::kWarning, "duty_unknown").With("duty", name);
  }
  m_tick_timer = m_deps.loop.EveryAfterInput(DutyLease::kTickPeriod,
                                             [this](TimePoint) { Tick(); });
}

void EntryDuties::Tick() {
  m_lease.Tick(Rank());
  if (!m_lease.is_holder()) {
    m_reporter.Resign();
  }
  if (m_settings.reports_usage) {
    SendCounts();
    m_reporter.Tick(m_is_draining ? std::nullopt
                                  : m_lease.GrantFor(DutyClient::kCallTime));
  }
  if (m_server_count != nullptr) {
    m_server_count->Tick(
        m_lease.is_holder(),
        m_is_draining ? std::nullopt : m_lease.GrantFor(DutyClient::kCallTime));
  }
  HandOverIfNeeded();
  const auto notice = m_lease.MakeNotice();
  if (notice.has_value() && (notice != m_sent_notice ||
                             m_reporter.settled_through() != m_sent_through)) {
    SendNotice();
  }
}

std::optional<std::size_t> EntryDuties::Rank() const {
  if (m_is_draining) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(
      std::ranges::count_if(m_peers.peers(), [this](const auto& item) {
        return item.first < m_self && !m_peers.IsSilent(item.second) &&
               !item.second.status.leaving;
      }));
}

void EntryDuties::HandOverIfNeeded() {
  if (!m_lease.is_holder() || m_reporter.is_calling() ||
      (m_server_count != nullptr && m_server_count->is_busy())) {
    return;
  }
  if (m_is_draining) {
    m_lease.Release("draining", kStopPause);
  } else if (FailingFor() > kMaxFailingTime &&
             m_peers.LiveMembers().size() > 1) {
    m_lease.Release("calls_fail", kHandOverPause);
  }
}

Duration EntryDuties::FailingFor() const {
  return std::max(m_reporter.FailingFor(), m_server_count == nullptr
                                               ? Duration::zero()
                                               : m_server_count->FailingFor());
}

std::vector<ScaledService> EntryDuties::MeasureScaledServices() const {
  std::vector<ScaledService> services;
  const FleetConfiguration* configuration = m_deps.entry.configuration();
  if (configuration == nullptr) {
    return services;
  }
  const auto demand = m_deps.entry.Demand();
  for (const ServingService& service : configuration->services) {
    const auto limits = LimitsOf(service);
    if (!limits.has_value()) {
      continue;
    }
    std::optional<CallRates> calls;
    if (demand.has_value()) {
      calls = CallRatesOf(service.name, *demand);
    }
    services.push_back(
        {service.name, *limits,
         MeasureServers(service.name, m_deps.entry.upstreams(), calls)});
  }
  return services;
}

void EntryDuties::SendNotice() {
  m_sent_notice = m_lease.MakeNotice();
  m_sent_through = m_reporter.settled_through();
  if (m_sent_notice.has_value()) {
    m_peers.SendToAll(DutyNotice{*m_sent_notice, m_sent_through});
  }
}

void EntryDuties::SendCounts() {
  if (m_lease.is_holder()) {
    m_holder = m_self;
    m_holder_token = m_lease.fencing_token();
    m_counter.SetHolder(m_holder_token);
  } else if (m_holder == m_self) {
    m_holder.reset();
    m_counter.SetHolder(0);
  }
  const auto standby = Standby();
  if (!m_holder.has_value() && !standby.has_value()) {
    return;
  }
  for (const UsageCounts& counts : m_counter.TakeDue()) {
    if (m_holder == m_self) {
      m_reporter.Merge(m_self, m_peers.incarnation(), counts);
      if (counts.is_final) {
        m_counter.Confirm({counts.window, m_holder_token});
      }
    } else if (m_holder.has_value()) {
      m_peers.SendTo(*m_holder, counts);
    }
    if (standby.has_value()) {
      m_peers.SendTo(*standby, counts);
    }
  }
}

std::optional<InstanceId> EntryDuties::Standby() const {
  const auto standby =
      std::ranges::find_if(m_peers.peers(), [this](const auto& item) {
        return item.first != m_holder && !m_peers.IsSilent(item.second) &&
               !item.second.status.leaving;
      });
  return standby == m_peers.peers().end() ? std::nullopt
                                          : std::optional(standby->first);
}

void EntryDuties::HandleMessage(const StatusMessage& message) {
  if (message.sender == m_self) {
    return;
  }
  if (const auto* notice = std::get_if<DutyNotice>(&message.body)) {
    HandleNotice(message.sender, *notice);
  } else if (const auto* counts = std::get_if<UsageCounts>(&message.body)) {
    m_reporter.Merge(message.sender, message.incarnation, *counts);
    if (counts->is_final && m_lease.is_holder()) {
      m_peers.SendTo(message.sender,
                     UsageReceipt{counts->window, m_lease.fencing_token()});
    }
  } else if (const auto* receipt = std::get_if<UsageReceipt>(&message.body)) {
    m_counter.Confirm(*receipt);
  }
}

void EntryDuties::HandleNotice(const InstanceId& sender,
                               const DutyNotice& notice) {
  m_lease.HandleNotice(notice.lease);
  if (notice.lease.fencing_token < m_holder_token) {
    return;
  }
  m_holder_token = notice.lease.fencing_token;
  m_holder = notice.lease.released ? std::nullopt : std::optional(sender);
  m_counter.SetHolder(m_holder.has_value() ? m_holder_token : 0);
  m_counter.DropThrough(notice.settled_through);
}

std::vector<UsageSource> EntryDuties::ListSources() const {
  const UnixTime wall_now = m_wall_clock.Now();
  const TimePoint now = m_deps.loop.clock().Now();
  std::vector<UsageSource> sources{
      {m_self, m_peers.incarnation(), m_started_at, wall_now}};
  for (const auto& [id, peer] : m_peers.peers()) {
    if (peer.last_heard_at.has_value()) {
      const UnixTime heard_at =
          wall_now - ToUnixTime(now - *peer.last_heard_at);
      sources.push_back({id, peer.incarnation,
                         heard_at - ToUnixTime(peer.status.uptime), heard_at});
    }
  }
  return sources;
}

void EntryDuties::Finish(std::function<void()> done) {
  m_counter.Close();
  SendLastCounts();
  m_finish_timer =
      m_deps.loop.After(kFinishDelay, [this, done = std::move(done)]() mutable {
        SendLastCounts();
        m_finish_timer = m_deps.loop.After(kFinishDelay, std::move(done));
      });
}

void EntryDuties::SendLastCounts() {
  m_counter.SendAgain();
  for (const UsageCounts& counts : m_counter.TakeDue()) {
    m_peers.SendToAll(counts);
  }
}

std::string EntryDuties::StatusJson() const {
  return nlohmann::json{
      {"holds_duties", m_lease.is_holder()},
      {"holder", m_holder.has_value() ? m_holder->value() : ""},
      {"fencing_token", m_lease.fencing_token()},
      {"usage_settled_through", ToNumber(m_reporter.settled_through())}}
      .dump();
}

}  // namespace bambooquay
