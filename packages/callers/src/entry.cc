// Handles callers' requests and the calls of other processes.
#include "bambooquay/callers/entry.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "caller_request.h"

namespace bambooquay {

Entry::Entry(const EntryIdentity& identity, const EntryContext& context)
    : m_identity(identity),
      m_context(context),
      m_directory(context.membership),
      m_selector(context.loop.clock(), context.random, identity.data_centre),
      m_allowance_coordinator(
          identity.instance, identity.incarnation,
          {context.loop, context.membership, context.pool, context.documents,
           context.repository, context.table}),
      m_placement_controller(context.loop, context.documents,
                             context.repository, m_directory, m_selector,
                             context.random) {
  m_context.documents.changed().connect(
      [this](const Document& document) { HandleDocument(document); });
  for (const DocumentKind kind : kAllDocumentKinds) {
    if (const Document* document = m_context.documents.Find(kind)) {
      HandleDocument(*document);
    }
  }
  m_context.metrics.RegisterGauge("entry_requests_open", [this] {
    return static_cast<double>(m_requests.size());
  });
  m_context.metrics.RegisterGauge("entry_peer_connections", [this] {
    return static_cast<double>(m_context.pool.size());
  });
}

Entry::~Entry() = default;

void Entry::HandleDocument(const Document& document) {
  switch (document.kind) {
    case DocumentKind::kConfiguration: {
      auto parsed = ParseConfiguration(document.text, "configuration");
      if (auto* configuration = std::get_if<Configuration>(&parsed)) {
        m_configuration = std::move(*configuration);
        m_directory.SetConfiguration(*m_configuration);
        m_allowance_coordinator.ledger().Configure(
            m_configuration->organisations);
      }
      break;
    }
    case DocumentKind::kKeys:
      if (auto keys = KeySet::Parse(document.text)) {
        m_keys = std::move(keys);
        CancelRequestsWithWithdrawnKeys();
      }
      break;
    case DocumentKind::kDrains:
      if (auto drains = DrainSet::Parse(document.text)) {
        m_directory.SetDrains(std::move(*drains));
      }
      break;
    case DocumentKind::kPlacement:
      if (auto placement = ParsePlacement(document.text)) {
        m_directory.SetPlacement(std::move(*placement));
      }
      break;
    case DocumentKind::kAllowance:
      break;  // Handled by AllowanceCoordinator.
  }
}

void Entry::CancelRequestsWithWithdrawnKeys() {
  std::vector<std::shared_ptr<CallerRequest>> requests;
  std::ranges::transform(m_requests, std::back_inserter(requests),
                         [](const auto& item) { return item.second; });
  for (const auto& request : requests) {
    request->CancelIfKeyWithdrawn();
  }
}

void Entry::HandleRequest(std::shared_ptr<HttpExchange> exchange) {
  const std::uint64_t id = m_next_request_id++;
  const auto request =
      std::make_shared<CallerRequest>(*this, id, std::move(exchange));
  m_requests.emplace(id, request);
  request->Start();
}

void Entry::RemoveRequest(std::uint64_t id) {
  // Destroyed later, because a member function of the request is still running.
  auto request = m_requests.extract(id);
  m_context.loop.Post(
      [removed = std::make_shared<decltype(request)>(std::move(request))] {});
  if (m_requests.empty() && m_on_drained) {
    m_context.loop.Post(std::exchange(m_on_drained, nullptr));
  }
}

ExchangeReply Entry::Exchange(const DocumentVersions& sender_versions) {
  m_context.sync.FetchNewer(sender_versions);
  return {m_context.documents.versions(), m_identity.incarnation, {}};
}

std::optional<Document> Entry::FetchDocument(DocumentKind kind) {
  const Document* document = m_context.documents.Find(kind);
  return document == nullptr ? std::nullopt
                             : std::optional<Document>(*document);
}

AllowanceTransfer Entry::AskAllowance(const AllowanceAsk& ask) {
  return m_allowance_coordinator.ledger().HandleAsk(ask);
}

void Entry::Drain(std::function<void()> on_drained) {
  m_is_draining = true;
  if (m_requests.empty()) {
    on_drained();
  } else {
    m_on_drained = std::move(on_drained);
  }
}

std::string Entry::NotReadyReason() const {
  if (!m_configuration.has_value()) {
    return "no configuration";
  }
  if (!m_keys.has_value()) {
    return "no keys";
  }
  if (!m_context.membership.ready()) {
    return "no instance list";
  }
  return m_is_draining ? "draining" : std::string();
}

std::string Entry::StatusJson() {
  nlohmann::json shares = nlohmann::json::object();
  if (m_configuration.has_value()) {
    for (const auto& organisation : m_configuration->organisations) {
      AllowanceLedger& ledger = m_allowance_coordinator.ledger();
      shares[organisation.id.value()] = {
          {"fraction", ledger.Fraction(organisation.id)},
          {"level", ledger.Level(organisation.id).count}};
    }
  }
  const DocumentVersions versions = m_context.documents.versions();
  return nlohmann::json{
      {"role", "entry"},
      {"instance", m_identity.instance.value()},
      {"not_ready", NotReadyReason()},
      {"requests", m_requests.size()},
      {"instances", m_context.membership.instances().size()},
      {"configuration", versions[DocumentKind::kConfiguration]},
      {"keys", versions[DocumentKind::kKeys]},
      {"drains", versions[DocumentKind::kDrains]},
      {"epoch", m_allowance_coordinator.ledger().epoch()},
      {"epoch_active", m_allowance_coordinator.ledger().can_transfer()},
      {"shares", shares}}
      .dump();
}

}  // namespace bambooquay
