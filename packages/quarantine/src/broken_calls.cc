// Calls whose connection broke, until it is known whether their upstream ended.
#include "bambooquay/quarantine/broken_calls.h"

#include <algorithm>
#include <utility>

namespace bambooquay {
namespace {

// An upstream whose run ends later did not crash by these calls.
constexpr Duration kMaxWait = std::chrono::seconds(10);
// A response may still arrive for this time after its upstream has ended.
constexpr Duration kLateBytesTime = std::chrono::milliseconds(200);
// Bound on memory.
constexpr std::size_t kMaxCalls = 256;

}  // namespace

void BrokenCalls::Record(BrokenCall call) {
  if (call.parts.empty() || !IsSuspect(call.progress)) {
    return;
  }
  if (m_calls.size() >= kMaxCalls) {
    m_calls.erase(m_calls.begin());
  }
  m_calls.push_back(std::move(call));
}

void BrokenCalls::RecordProgress(const UpstreamRun& run, TimePoint sent_at) {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_calls, [&](const BrokenCall& call) {
    return call.run == run && sent_at < call.broke_at &&
           now - call.broke_at > kLateBytesTime;
  });
}

void BrokenCalls::RecordUnreachable(const UpstreamRun& run) {
  std::ranges::for_each(m_calls, [&](BrokenCall& call) {
    call.is_unreachable = call.is_unreachable || call.run == run;
  });
}

std::vector<BrokenCall> BrokenCalls::TakeCrashed(
    const RunFinder& find_present_run) {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_calls, [&](const BrokenCall& call) {
    return now - call.broke_at > kMaxWait;
  });
  std::vector<BrokenCall> crashed;
  std::vector<BrokenCall> waiting;
  for (const BrokenCall& call : m_calls) {
    const auto present = find_present_run(call.run.id);
    if (present == call.run && !call.is_unreachable) {
      waiting.push_back(call);
      continue;
    }
    // Calls are in the order in which they broke.
    const auto first = std::ranges::find(m_calls, call.run, &BrokenCall::run);
    if (present.has_value() && present != call.run &&
        call.begun_at >= first->broke_at) {
      waiting.push_back(call);
      waiting.back().run = *present;
    }
    crashed.push_back(call);
  }
  m_calls = std::move(waiting);
  return crashed;
}

}  // namespace bambooquay
