// Orders the number of servers from the platform while this entry holds the
// duties.
#include "bambooquay/duties/server_count_duty.h"

#include <algorithm>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

constexpr Duration kWatchPeriod = std::chrono::seconds(1);

}  // namespace

ServerCountDuty::ServerCountDuty(ServerCountDutyDeps deps)
    : m_deps(std::move(deps)) {
  m_deps.metrics.RegisterGauge("server_count_orders_pending", [this] {
    return static_cast<double>(m_pending.size());
  });
}

std::optional<Duration> ServerCountDuty::SuccessAge() const {
  if (!m_accepted_at.has_value()) {
    return std::nullopt;
  }
  return m_deps.clock.Now() - *m_accepted_at;
}

Duration ServerCountDuty::FailingFor() const {
  return m_failing_since.has_value() ? m_deps.clock.Now() - *m_failing_since
                                     : Duration::zero();
}

void ServerCountDuty::Tick(bool is_holder,
                           const std::optional<DutyGrant>& grant) {
  const bool has_new_token =
      grant.has_value() && grant->fencing_token != m_fencing_token;
  if (!is_holder || has_new_token) {
    // Another entry may have given orders since.
    ForgetOrders();
  }
  m_is_holder = is_holder;
  if (has_new_token) {
    m_fencing_token = grant->fencing_token;
  }
  const TimePoint now = m_deps.clock.Now();
  if (now - m_watched_at >= kWatchPeriod) {
    m_watched_at = now;
    Watch();
  }
  if (grant.has_value() && m_is_holder) {
    SendNext(*grant);
  }
}

void ServerCountDuty::ForgetOrders() {
  std::ranges::for_each(m_policies,
                        [](auto& item) { item.second.ForgetTargets(); });
  m_pending.clear();
  m_failing_since.reset();
  ++m_term;
}

void ServerCountDuty::Watch() {
  const std::vector<ScaledService> services = m_deps.measure();
  std::erase_if(m_policies, [&](const auto& item) {
    return std::ranges::find(services, item.first, &ScaledService::service) ==
           services.end();
  });
  std::erase_if(m_pending, [&](const auto& item) {
    return std::ranges::find(services, item.first.first,
                             &ScaledService::service) == services.end();
  });
  for (const ScaledService& service : services) {
    ServerCountPolicy& policy =
        m_policies.try_emplace(service.service, m_deps.clock).first->second;
    for (const ServerCountDecision& decision :
         policy.Update(service.limits, service.data_centres)) {
      if (m_is_holder) {
        HandleDecision(service.service, decision);
      }
    }
    if (!m_is_holder) {
      policy.ForgetTargets();
    }
  }
}

void ServerCountDuty::HandleDecision(const ServiceName& service,
                                     const ServerCountDecision& decision) {
  const Subject subject{service, decision.data_centre};
  const auto [shown, is_new] = m_shown.try_emplace(subject, decision);
  if (is_new) {
    const auto show = [&](const char* name, auto read) {
      m_deps.metrics.RegisterGauge(
          name + Labels(subject), [this, subject, read] {
            return static_cast<double>(m_shown.at(subject).*read);
          });
    };
    show("server_count_target", &ServerCountDecision::target);
    show("server_count_serving", &ServerCountDecision::serving);
    show("server_count_overdue", &ServerCountDecision::overdue);
  }
  const bool is_newly_overdue =
      decision.overdue && (is_new || !shown->second.overdue);
  shown->second = decision;
  if (is_newly_overdue) {
    LogEvent(LogLevel::kWarning, "server_count_overdue")
        .With("service", service.value())
        .With("datacentre", decision.data_centre.value())
        .With("target", decision.target)
        .With("serving", decision.serving);
  }
  if (decision.reason == ServerCountReason::kUnchanged) {
    return;
  }
  LogEvent(LogLevel::kInfo, "server_count_changed")
      .With("service", service.value())
      .With("datacentre", decision.data_centre.value())
      .With("target", decision.target)
      .With("previous", decision.previous)
      .With("serving", decision.serving)
      .With("reason", ToString(decision.reason))
      .With("load", decision.load)
      .With("expected_load", decision.expected_load)
      .With("token", m_fencing_token);
  m_pending[subject] = decision.target;
}

void ServerCountDuty::SendNext(const DutyGrant& grant) {
  if (m_pending.empty() || m_is_busy || m_deps.clock.Now() < m_paused_until) {
    return;
  }
  auto next = m_pending.upper_bound(m_last_subject);
  if (next == m_pending.end()) {
    next = m_pending.begin();
  }
  const auto [subject, count] = *next;
  m_last_subject = subject;
  m_is_busy = true;
  m_deps.client.OrderServerCount(
      grant, {subject.first, subject.second, count},
      [this, term = m_term, order = *next](DutyCallResult result) {
        HandleResult(term, order, result);
      });
}

void ServerCountDuty::HandleResult(std::uint64_t term, const Order& order,
                                   DutyCallResult result) {
  const auto& [subject, count] = order;
  m_is_busy = false;
  m_deps.metrics.Increment("server_count_orders_total{result=\"" +
                           std::string(ToString(result)) + "\"}");
  const bool is_accepted = result == DutyCallResult::kAccepted;
  if (is_accepted) {
    m_accepted_at = m_deps.clock.Now();
    m_pause = Duration::zero();
  } else {
    LogEvent(LogLevel::kWarning, "server_count_order_failed")
        .With("service", subject.first.value())
        .With("datacentre", subject.second.value())
        .With("target", count)
        .With("result", ToString(result));
    m_pause = std::clamp(m_pause * 2, kFirstPause, kMaxPause);
    m_paused_until = m_deps.clock.Now() + m_pause;
  }
  const bool has_failed =
      result == DutyCallResult::kUnknown || result == DutyCallResult::kNotSent;
  if (!has_failed || term != m_term) {
    m_failing_since.reset();
  } else if (!m_failing_since.has_value()) {
    m_failing_since = m_deps.clock.Now();
  }
  const bool is_settled = is_accepted || result == DutyCallResult::kRejected;
  const auto pending = m_pending.find(subject);
  if (is_settled && term == m_term && pending != m_pending.end() &&
      pending->second == count) {
    m_pending.erase(pending);
  }
}

std::string ServerCountDuty::Labels(const Subject& subject) {
  return "{service=\"" + subject.first.value() + "\",datacentre=\"" +
         subject.second.value() + "\"}";
}

}  // namespace bambooquay
