// The agent on a hosted platform: the orders that it sends to its engine.
#include <algorithm>
#include <array>
#include <utility>

#include "bambooquay/runtime/log.h"
#include "bambooquay/serving/serving_agent.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

// Delay before another attempt to acquire a fencing token from the store.
constexpr Duration kFencingTokenRetryDelay = milliseconds(400);
// A target that has not been renewed for this long is ignored.
constexpr Duration kTargetTimeout = std::chrono::seconds(2);
// Time from the acceptance of an adapter load until the adapter can be used.
constexpr Duration kAdapterLoadTime = milliseconds(12);
// Adapter requests without a reply are dropped after this time, as the entry
// has sent its call to another upstream by then.
constexpr Duration kAdapterJobTimeout = milliseconds(600);
constexpr Duration kOrderRetryDelay = milliseconds(50);
// Number of consecutive refusals after which a warning is logged. They take
// more than a second, so the cause is one that retries do not resolve.
constexpr int kStuckAfterRefusedOrders = 30;
// More versions than the store gives out in one era. Tokens of a million eras
// remain exact as JSON numbers.
constexpr std::uint64_t kVersionsPerEra = std::uint64_t{1} << 32;

std::uint64_t FencingTokenAt(const StorePosition& position) noexcept {
  return position.era.number * kVersionsPerEra + position.version + 1;
}

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

void ServingAgent::AcquireFencingToken() {
  if (m_fencing_token_pending) {
    return;
  }
  // The store's position never decreases, so the token of a later start is
  // never lower.
  m_fencing_token_pending = true;
  m_load_limiter.Refresh([this](bool answered) {
    m_fencing_token_pending = false;
    if (answered) {
      m_fencing_token = FencingTokenAt(*m_load_limiter.store_position());
      LogEvent(LogLevel::kInfo, "fence_acquired")
          .With("token", m_fencing_token);
      return;
    }
    m_retry_timer = m_deps.loop.After(kFencingTokenRetryDelay,
                                      [this] { AcquireFencingToken(); });
  });
}

void ServingAgent::RefreshConfigurationIfModelUnknown() {
  const EngineProfile* profile = FindProfile();
  const bool all_configured =
      profile != nullptr &&
      std::ranges::all_of(*m_target, [&](const ModelName& model) {
        return profile->Find(model) != nullptr;
      });
  if (!all_configured) {
    m_operator_rows.WatchNow();
  }
}

void ServingAgent::HandleAdapterRequest(const Endpoint& sender_address,
                                        const AdapterRequest& request) {
  const bool is_queued =
      std::ranges::any_of(m_adapter_jobs, [&](const AdapterJob& job) {
        return job.sender_address == sender_address &&
               job.request.request_id == request.request_id;
      });
  if (!is_queued) {
    m_adapter_jobs.push_back(
        {request, sender_address, m_deps.loop.clock().Now()});
  }
  MarkAdapterUsed(AdapterKey(request.model, request.adapter));
  Reconcile();
}

void ServingAgent::MarkAdapterUsed(const std::string& key) {
  std::erase(m_adapters_by_last_use, key);
  m_adapters_by_last_use.push_back(key);
}

void ServingAgent::SendAdapterReply(const AdapterJob& job, bool loaded) {
  m_socket.Send(job.sender_address,
                EncodeStatus({m_settings.id, m_incarnation,
                              AdapterReply{job.request.request_id, loaded}}));
}

void ServingAgent::Reconcile() {
  if (m_order_in_flight || m_fencing_token == 0 || !m_report.has_value() ||
      m_upstream.empty() || FindProfile() == nullptr) {
    return;
  }
  if (m_unconfirmed_order.has_value()) {
    // The outcome of the last order is unknown. Sends the same order again,
    // which the engine refuses if it accepted the first one.
    m_order_in_flight = true;
    m_deps.engine.SendOrder(
        *m_unconfirmed_order,
        [this, order = *m_unconfirmed_order](OrderResult result) {
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
  std::erase_if(m_adapter_jobs, [&](const AdapterJob& job) {
    return now - job.received_at > kAdapterJobTimeout;
  });
  while (!m_adapter_jobs.empty()) {
    const AdapterJob job = m_adapter_jobs.front();
    const AdapterRequest& request = job.request;
    const auto resident =
        std::ranges::find(m_report->models, request.model, &LoadedModel::name);
    // The engine takes no orders while it loads or unloads a model.
    if (resident == m_report->models.end() || m_report->busy ||
        request.upstream != m_upstream) {
      SendAdapterReply(job, false);
      m_adapter_jobs.pop_front();
      continue;
    }
    if (std::ranges::find(resident->adapters, request.adapter) !=
        resident->adapters.end()) {
      SendAdapterReply(job, true);
      m_adapter_jobs.pop_front();
      continue;
    }
    const auto order =
        NextAdapterOrder(*FindProfile(), *m_report, request.model,
                         request.adapter, m_adapters_by_last_use);
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
  if (!m_target.has_value() || now - m_target_received_at > kTargetTimeout ||
      m_order_count.ReportsMayLag() || m_load_limiter.pending()) {
    return;
  }
  const auto order = NextModelOrder(*FindProfile(), *m_report, *m_target);
  if (!order.has_value()) {
    return;
  }
  if (!order->from_store) {
    StartOrder(*order);
    return;
  }
  const LoadRateLimit limit{FindProfile()->loads_per_second,
                            m_settings.load_window};
  m_load_limiter.Acquire(
      order->model, m_upstream, limit, [this, order = *order](bool granted) {
        if (granted && !m_order_in_flight && !m_unconfirmed_order.has_value()) {
          StartOrder(order);
        }
      });
}

void ServingAgent::StartOrder(const PlannedOrder& planned) {
  EngineOrder order;
  order.kind = planned.kind;
  order.model = planned.model;
  order.adapter = planned.adapter;
  order.expected_orders = m_order_count.count();
  order.engine = m_upstream;
  order.holder = m_settings.id;
  order.fencing_token = m_fencing_token;
  LogEvent(LogLevel::kInfo, "order")
      .With("operation", OperationName(order.kind))
      .With("model", AdapterKey(order.model, order.adapter))
      .With("from_store", planned.from_store ? "yes" : "no")
      .With("expected", m_order_count.count());
  m_unconfirmed_order = order;
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
      m_order_count.RecordAccepted(order.expected_orders.value_or(0));
      ApplyAcceptedOrder(order);
      m_unconfirmed_order.reset();
      break;
    case OrderResult::kAlreadyDone:
      // An unload is already done because the engine accepted an earlier
      // attempt of this order.
      if (order.kind == OrderKind::kUnload) {
        m_order_count.RecordAccepted(order.expected_orders.value_or(0));
      } else {
        m_order_count.MarkReportsLagging();
      }
      ApplyAcceptedOrder(order);
      m_unconfirmed_order.reset();
      break;
    case OrderResult::kConflict:
    case OrderResult::kFenced:
    case OrderResult::kRejected:
      LogEvent(LogLevel::kInfo, "order_refused")
          .With("model", AdapterKey(order.model, order.adapter))
          .With("expected", order.expected_orders.value_or(0))
          .With("result", ResultName(result));
      if (++m_consecutive_refused_orders == kStuckAfterRefusedOrders) {
        LogEvent(LogLevel::kWarning, "orders_stuck")
            .With("upstream", m_upstream.value())
            .With("refused_in_row", m_consecutive_refused_orders);
      }
      // The next report shows the engine's actual state.
      m_unconfirmed_order.reset();
      m_order_count.RecordRefusal();
      m_retry_timer = m_deps.loop.After(kOrderRetryDelay, [this] { Poll(); });
      return;
    case OrderResult::kNotSent:
      m_unconfirmed_order.reset();
      return;
    case OrderResult::kUnknown:
      m_retry_timer =
          m_deps.loop.After(kOrderRetryDelay, [this] { Reconcile(); });
      return;
  }
  // The engine needs some time to carry out the order.
  m_retry_timer = m_deps.loop.After(
      order.adapter.empty() ? kOrderRetryDelay : kAdapterLoadTime,
      [this] { Reconcile(); });
}

void ServingAgent::ApplyAcceptedOrder(const EngineOrder& order) {
  m_consecutive_refused_orders = 0;
  auto& models = m_report->models;
  if (order.adapter.empty()) {
    m_report->busy = true;
    if (order.kind == OrderKind::kUnload) {
      std::erase_if(models, [&](const LoadedModel& model) {
        return model.name == order.model;
      });
    }
    return;
  }
  const auto resident =
      std::ranges::find(models, order.model, &LoadedModel::name);
  if (resident == models.end()) {
    return;
  }
  std::erase(resident->adapters, order.adapter);
  if (order.kind == OrderKind::kLoad) {
    resident->adapters.push_back(order.adapter);
  }
}

}  // namespace bambooquay
