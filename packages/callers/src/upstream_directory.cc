// Finds the upstreams that can serve a model or a service, and their agents.
#include "bambooquay/callers/upstream_directory.h"

#include <utility>

namespace bambooquay {
namespace {

template <typename Name>
const std::vector<Candidate>& FindCandidates(
    const std::map<Name, std::vector<Candidate>>& candidates,
    const Name& name) {
  static const std::vector<Candidate> kNoCandidates;
  const auto found = candidates.find(name);
  return found == candidates.end() ? kNoCandidates : found->second;
}

}  // namespace

UpstreamDirectory::UpstreamDirectory(Membership& membership)
    : m_membership(membership) {
  membership.changed().connect([this] { Rebuild(); });
}

void UpstreamDirectory::SetConfiguration(const Configuration& configuration) {
  m_upstreams.clear();
  for (const UpstreamSettings& upstream : configuration.upstreams) {
    m_upstreams.emplace(upstream.id,
                        Upstream{upstream.service, upstream.data_centre});
  }
  if (!m_has_published_placement) {
    m_placement = ComputeStaticPlacement(configuration);
  }
  Rebuild();
}

void UpstreamDirectory::SetPlacement(Placement placement) {
  m_placement = std::move(placement);
  m_has_published_placement = true;
  Rebuild();
}

std::vector<Candidate> UpstreamDirectory::LiveUpstreams() const {
  std::vector<Candidate> live;
  for (const auto& [service, candidates] : m_by_service) {
    live.insert(live.end(), candidates.begin(), candidates.end());
  }
  return live;
}

void UpstreamDirectory::SetDrains(DrainSet drains) {
  m_drains = std::move(drains);
  Rebuild();
}

const std::vector<Candidate>& UpstreamDirectory::CandidatesFor(
    const ServiceName& service, const ModelName& model) const {
  return model.empty() ? FindCandidates(m_by_service, service)
                       : FindCandidates(m_by_model, model);
}

const Instance* UpstreamDirectory::FindAgent(const UpstreamId& upstream) const {
  const auto found = m_agents.find(upstream);
  return found == m_agents.end() ? nullptr : &found->second;
}

void UpstreamDirectory::Rebuild() {
  m_by_service.clear();
  m_by_model.clear();
  m_agents.clear();
  for (const Instance& instance : m_membership.instances()) {
    if (instance.role != InstanceRole::kAgent) {
      continue;
    }
    m_agents[instance.upstream] = instance;
    const auto upstream = m_upstreams.find(instance.upstream);
    if (instance.leaving || upstream == m_upstreams.end() ||
        m_drains.IsDrained(instance.upstream, upstream->second.data_centre)) {
      continue;
    }
    const Candidate candidate{instance.upstream, upstream->second.data_centre};
    m_by_service[upstream->second.service].push_back(candidate);
    const auto placed = m_placement.find(instance.upstream);
    if (placed == m_placement.end()) {
      continue;
    }
    for (const ModelName& model : placed->second) {
      m_by_model[model].push_back(candidate);
    }
  }
}

}  // namespace bambooquay
