// How an agent applies new documents, and its status for operators.
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "bambooquay/core/allowance_state.h"
#include "bambooquay/runtime/log.h"
#include "bambooquay/upstreams/agent.h"
#include "running_work.h"

namespace bambooquay {

void Agent::HandleDocument(const Document& document) {
  switch (document.kind) {
    case DocumentKind::kConfiguration: {
      auto parsed = ParseConfiguration(document.text, "configuration");
      if (auto* configuration = std::get_if<Configuration>(&parsed)) {
        m_configuration = std::move(*configuration);
        Configure(*m_configuration);
      }
      break;
    }
    case DocumentKind::kKeys:
      if (auto keys = KeySet::Parse(document.text)) {
        m_keys = std::move(keys);
        CancelWorkWithWithdrawnKeys();
      }
      break;
    case DocumentKind::kDrains:
      if (auto drains = DrainSet::Parse(document.text)) {
        m_drains = std::move(*drains);
        if (IsUpstreamDrained()) {
          RefuseAllQueued();
        }
      }
      break;
    case DocumentKind::kPlacement:
      if (auto placement = ParsePlacement(document.text)) {
        m_placement = std::move(placement);
        SetPlannedModels();
      }
      break;
    case DocumentKind::kAllowance:
      if (const auto state = AllowanceState::Parse(document.text)) {
        Fence(state->epoch);
      }
      break;
  }
}

void Agent::Configure(const Configuration& configuration) {
  m_settings = configuration.Find(m_identity.upstream);
  if (m_settings == nullptr) {
    LogEvent(LogLevel::kWarning, "upstream_not_configured")
        .With("upstream", m_identity.upstream.value());
    return;
  }
  m_limit.Configure({m_settings->cold_concurrency, m_settings->warm_concurrency,
                     m_settings->expected_pace});
  if (IsPlainService()) {
    return;
  }
  if (m_model_manager == nullptr) {
    m_model_manager = std::make_unique<EngineModelManager>(
        m_context.loop, m_identity.upstream_address, m_settings->memory);
    m_model_manager->OnReachabilityChange([this](bool reachable) {
      LogEvent(LogLevel::kInfo, "engine_reachable")
          .With("reachable", reachable ? "yes" : "no");
      m_limit.RecordFailure();
    });
  }
  if (m_is_registered) {
    m_model_manager->TakeOver(m_fencing_token, m_settings->checks_fencing);
  }
  SetPlannedModels();
}

// Uses the static placement until a placement document is published.
void Agent::SetPlannedModels() {
  if (m_model_manager == nullptr) {
    return;
  }
  const Placement placement =
      m_placement.value_or(ComputeStaticPlacement(*m_configuration));
  std::map<ModelName, MebiBytes> plan;
  const auto models = placement.find(m_settings->id);
  if (models != placement.end()) {
    for (const ModelName& name : models->second) {
      if (const ModelSettings* model = m_configuration->Find(name)) {
        plan.emplace(name, model->memory);
      }
    }
  }
  m_model_manager->SetPlannedModels(std::move(plan));
}

bool Agent::IsPlainService() const noexcept {
  const ServiceSettings* service =
      m_settings == nullptr ? nullptr
                            : m_configuration->Find(m_settings->service);
  return service != nullptr && service->kind == ServiceKind::kPlain;
}

bool Agent::IsUpstreamDrained() const noexcept {
  return m_settings != nullptr &&
         m_drains.IsDrained(m_settings->id, m_settings->data_centre);
}

void Agent::CancelWorkWithWithdrawnKeys() {
  if (!m_configuration.has_value()) {
    return;
  }
  std::vector<RequestId> queued;
  for (const auto& [id, entry] : m_queued_work) {
    if (!IsKeyValid(entry.work)) {
      queued.push_back(id);
    }
  }
  for (const RequestId& id : queued) {
    m_queue.Remove(id);
    RefuseQueued(id, Refusal::kKeyWithdrawn);
  }
  std::vector<RunningWork*> running;
  for (const auto& [id, work] : m_running) {
    // Non-idempotent work is finished and its response recorded.
    if (work->work().idempotent && !IsKeyValid(work->work())) {
      running.push_back(work.get());
    }
  }
  for (RunningWork* work : running) {
    work->Abort("the key was withdrawn");
  }
}

void Agent::RefuseAllQueued() {
  while (const std::optional<RequestId> id = m_queue.Dequeue()) {
    RefuseQueued(*id, Refusal::kLeaving);
  }
}

std::string Agent::NotReadyReason() const {
  if (m_is_draining) {
    return "draining";
  }
  if (m_settings == nullptr) {
    return "no configuration for this upstream";
  }
  if (!m_keys.has_value()) {
    return "no keys";
  }
  return m_is_registered ? std::string() : "not registered in the table";
}

std::string Agent::StatusJson() const {
  nlohmann::json models = nlohmann::json::array();
  if (m_model_manager != nullptr) {
    for (const ModelName& model : m_model_manager->ledger().LoadedModels()) {
      models.push_back(model.value());
    }
  }
  const DocumentVersions versions = m_context.documents.versions();
  return nlohmann::json{
      {"role", "agent"},
      {"upstream", m_identity.upstream.value()},
      {"not_ready", NotReadyReason()},
      {"settled",
       m_model_manager == nullptr || m_model_manager->HasAllPlannedModels()},
      {"taken_out", IsUpstreamDrained()},
      {"in_flight", m_running.size()},
      {"queued", m_queue.size()},
      {"remembered", m_ledger.size()},
      {"limit", m_limit.limit()},
      {"configuration", versions[DocumentKind::kConfiguration]},
      {"keys", versions[DocumentKind::kKeys]},
      {"drains", versions[DocumentKind::kDrains]},
      {"epoch", m_min_epoch},
      {"models", models}}
      .dump();
}

}  // namespace bambooquay
