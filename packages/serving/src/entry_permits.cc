// Permits for upstreams that no agent is beside.
#include "bambooquay/serving/entry_permits.h"

#include <algorithm>
#include <utility>

#include "bambooquay/core/rendezvous.h"

namespace bambooquay {
namespace {

// A bucket that was not asked for this long is full, so a new one grants less.
constexpr Duration kMaxUnusedTime = std::chrono::minutes(1);

}  // namespace

EntryPermits::EntryPermits(const Clock& clock, InstanceId self)
    : m_clock(clock), m_self(std::move(self)), m_live_entries{m_self} {}

void EntryPermits::SetEntries(std::vector<InstanceId> live_entries,
                              std::size_t member_count) {
  m_live_entries = std::move(live_entries);
  m_member_count = std::max(member_count, m_live_entries.size());
}

InstanceId EntryPermits::IssuerOf(const UpstreamId& upstream) const {
  return ChooseByRendezvous(boost::hash<std::string>()(upstream.value()),
                            m_live_entries);
}

PermitReply EntryPermits::Issue(const PermitRequest& request) {
  const auto [found, is_new] = m_issuers.try_emplace(
      request.upstream, Issuer{PermitIssuer(m_clock), {}});
  Issuer& issuer = found->second;
  issuer.asked_at = m_clock.Now();
  const std::size_t parts =
      IssuerOf(request.upstream) == m_self ? m_live_entries.size() : 1;
  const double share =
      static_cast<double>(parts) / static_cast<double>(m_member_count);
  const bool granted = issuer.permits.TryIssue(request.bounds, share);
  return {request.request_id, granted,
          issuer.permits.TimeUntilNext(request.bounds)};
}

void EntryPermits::RemoveUnused() {
  std::erase_if(m_issuers, [now = m_clock.Now()](const auto& item) {
    return now - item.second.asked_at > kMaxUnusedTime;
  });
}

}  // namespace bambooquay
