// The agent on a hosted platform: the orders that it gives its engine.
#include <algorithm>
#include <array>
#include <utility>

#include "bambooquay/runtime/log.h"
#include "bambooquay/serving/serving_agent.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

// Delay before the store is asked again for a fencing token.
constexpr Duration kFenceRetry = milliseconds(400);
// A target older than this is no longer followed.
constexpr Duration kTargetLifetime = std::chrono::seconds(2);
// An adapter is there this long after its load was accepted.
constexpr Duration kAdapterLoadTime = milliseconds(12);
// A job is given up after this time; its entry has turned elsewhere.
constexpr Duration kJobLifetime = milliseconds(600);
constexpr Duration kOrderRetry = milliseconds(50);
// Orders refused in a row after which something is wrong that a retry does not
// mend: more than a second of them.
constexpr int kStuckOrders = 30;

const char* OperationName(OrderKind kind) noexcept {
  return kind == OrderKind::kLoad ? "load" : "unload";
}

const char* ResultName(OrderResult result) noexcept {
  constexpr std::array kNames = {"accepted", "holds_already", "conflict",
                                 "fenced",   "rejected",      "not_sent",
                                 "unknown"};
  return kNames.at(static_cast<std::size_t>(result));
}

}  // namespace

void ServingAgent::AcquireFence() {
  if (m_fence_pending) {
    return;
  }
  // The store's version only grows, so each start gets a higher token.
  m_fence_pending = true;
  m_ledger.Refresh([this](bool answered) {
    m_fence_pending = false;
    if (answered) {
      m_fencing_token = *m_ledger.store_version() + 1;
      LogEvent(LogLevel::kInfo, "fence_acquired")
          .With("token", m_fencing_token);
      return;
    }
    m_retry = m_deps.loop.After(kFenceRetry, [this] { AcquireFence(); });
  });
}

void ServingAgent::LookForUnknownModels() {
  const EngineProfile* profile = Profile();
  const bool all_known =
      profile != nullptr &&
      std::ranges::all_of(*m_target, [&](const ModelName& model) {
        return profile->Find(model) != nullptr;
      });
  if (!all_known) {
    m_operator_rows.EndPause();
  }
}

void ServingAgent::HandleAdapterRequest(const Endpoint& from,
                                        const AdapterRequest& request) {
  const bool known = std::ranges::any_of(m_jobs, [&](const AdapterJob& job) {
    return job.from == from && job.request.number == request.number;
  });
  if (!known) {
    m_jobs.push_back({request, from, m_deps.loop.clock().Now()});
  }
  TouchAdapter(AdapterKey(request.model, request.adapter));
  Reconcile();
}

void ServingAgent::TouchAdapter(const std::string& key) {
  std::erase(m_adapter_use, key);
  m_adapter_use.push_back(key);
}

void ServingAgent::Reply(const AdapterJob& job, bool loaded) {
  m_socket.Send(job.from,
                EncodeStatus({m_settings.id, m_incarnation,
                              AdapterReply{job.request.number, loaded}}));
}

void ServingAgent::Reconcile() {
  if (m_order_in_flight || m_fencing_token == 0 || !m_report.has_value() ||
      m_upstream.empty() || Profile() == nullptr) {
    return;
  }
  if (m_order.has_value()) {
    // Its fate is unknown: the same order again, which is refused if the first
    // one was accepted.
    m_order_in_flight = true;
    m_deps.engine.SendOrder(*m_order,
                            [this, order = *m_order](OrderResult result) {
                              HandleOrderResult(order, result);
                            });
    return;
  }
  if (!ReconcileAdapters()) {
    ReconcileModels();
  }
}

bool ServingAgent::ReconcileAdapters() {
  const TimePoint now = m_deps.loop.clock().Now();
  std::erase_if(m_jobs, [&](const AdapterJob& job) {
    return now - job.received_at > kJobLifetime;
  });
  while (!m_jobs.empty()) {
    const AdapterJob job = m_jobs.front();
    const AdapterRequest& request = job.request;
    const auto resident = std::ranges::find(m_report->models, request.model,
                                            &ResidentModel::name);
    // While a model is loaded or unloaded, the engine takes no orders.
    if (resident == m_report->models.end() || m_report->busy ||
        request.upstream != m_upstream) {
      Reply(job, false);
      m_jobs.pop_front();
      continue;
    }
    if (std::ranges::find(resident->adapters, request.adapter) !=
        resident->adapters.end()) {
      Reply(job, true);
      m_jobs.pop_front();
      continue;
    }
    const auto order = NextAdapterOrder(*Profile(), *m_report, request.model,
                                        request.adapter, m_adapter_use);
    if (!order.has_value()) {
      return false;
    }
    StartOrder(*order);
    return true;
  }
  return false;
}

void ServingAgent::ReconcileModels() {
  const TimePoint now = m_deps.loop.clock().Now();
  if (!m_target.has_value() || now - m_target_at > kTargetLifetime ||
      m_orders.ReportsLag() || m_ledger.pending()) {
    return;
  }
  const auto order = NextModelOrder(*Profile(), *m_report, *m_target);
  if (!order.has_value()) {
    return;
  }
  if (!order->from_store) {
    StartOrder(*order);
    return;
  }
  const LoadPace pace{Profile()->loads_per_second, m_settings.load_window};
  m_ledger.Acquire(
      order->model, m_upstream, pace, [this, order = *order](bool granted) {
        if (granted && !m_order_in_flight && !m_order.has_value()) {
          StartOrder(order);
        }
      });
}

void ServingAgent::StartOrder(const PlannedOrder& planned) {
  EngineOrder order;
  order.kind = planned.kind;
  order.model = planned.model;
  order.adapter = planned.adapter;
  order.expected_orders = m_orders.count();
  order.engine = m_upstream;
  order.holder = m_settings.id;
  order.fencing_token = m_fencing_token;
  LogEvent(LogLevel::kInfo, "order")
      .With("operation", OperationName(order.kind))
      .With("model", AdapterKey(order.model, order.adapter))
      .With("from_store", planned.from_store ? "yes" : "no")
      .With("expected", m_orders.count());
  m_order = order;
  m_order_in_flight = true;
  m_deps.engine.SendOrder(order, [this, order](OrderResult result) {
    HandleOrderResult(order, result);
  });
}

void ServingAgent::HandleOrderResult(const EngineOrder& order,
                                     OrderResult result) {
  m_order_in_flight = false;
  m_deps.metrics.Increment(std::string("orders_total{operation=\"") +
                           OperationName(order.kind) + "\",result=\"" +
                           ResultName(result) + "\"}");
  switch (result) {
    case OrderResult::kAccepted:
      m_orders.NoteAccepted(order.expected_orders.value_or(0));
      NoteAccepted(order);
      m_order.reset();
      break;
    case OrderResult::kHoldsAlready:
      // An unload holds because an earlier try of it was accepted.
      if (order.kind == OrderKind::kUnload) {
        m_orders.NoteAccepted(order.expected_orders.value_or(0));
      } else {
        m_orders.NoteEffect();
      }
      NoteAccepted(order);
      m_order.reset();
      break;
    case OrderResult::kConflict:
    case OrderResult::kFenced:
    case OrderResult::kRejected:
      LogEvent(LogLevel::kInfo, "order_refused")
          .With("model", AdapterKey(order.model, order.adapter))
          .With("expected", order.expected_orders.value_or(0))
          .With("result", ResultName(result));
      if (++m_refused_in_row == kStuckOrders) {
        LogEvent(LogLevel::kWarning, "orders_stuck")
            .With("upstream", m_upstream.value())
            .With("refused_in_row", m_refused_in_row);
      }
      // The next report tells what holds.
      m_order.reset();
      m_orders.NoteRefused();
      m_retry = m_deps.loop.After(kOrderRetry, [this] { Poll(); });
      return;
    case OrderResult::kNotSent:
      m_order.reset();
      return;
    case OrderResult::kUnknown:
      m_retry = m_deps.loop.After(kOrderRetry, [this] { Reconcile(); });
      return;
  }
  // The order's effect shows after a moment.
  m_retry =
      m_deps.loop.After(order.adapter.empty() ? kOrderRetry : kAdapterLoadTime,
                        [this] { Reconcile(); });
}

void ServingAgent::NoteAccepted(const EngineOrder& order) {
  m_refused_in_row = 0;
  auto& models = m_report->models;
  if (order.adapter.empty()) {
    m_report->busy = true;
    if (order.kind == OrderKind::kUnload) {
      std::erase_if(models, [&](const ResidentModel& model) {
        return model.name == order.model;
      });
    }
    return;
  }
  const auto resident =
      std::ranges::find(models, order.model, &ResidentModel::name);
  if (resident == models.end()) {
    return;
  }
  std::erase(resident->adapters, order.adapter);
  if (order.kind == OrderKind::kLoad) {
    resident->adapters.push_back(order.adapter);
  }
}

}  // namespace bambooquay
