// Calls whose connection broke, until it is known whether their upstream ended.
#include "bambooquay/quarantine/broken_calls.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bambooquay {
namespace {

// An upstream whose run ends later did not crash by these calls.
constexpr Duration kMaxWait = std::chrono::seconds(10);
// A response may still arrive for this time after its upstream has ended.
constexpr Duration kLateBytesTime = std::chrono::milliseconds(200);
// Bound on memory.
constexpr std::size_t kMaxCalls = 256;
constexpr std::size_t kMaxRuns = 256;

}  // namespace

void BrokenCalls::Record(BrokenCall call) {
  if (call.parts.empty() || !IsSuspect(call.progress)) {
    const bool is_known =
        std::ranges::find(m_runs, call.run, &BrokenRun::run) != m_runs.end();
    if (!is_known && m_runs.size() < kMaxRuns) {
      m_runs.push_back({call.run, call.broke_at});
    }
    return;
  }
  if (m_calls.size() >= kMaxCalls) {
    m_calls.erase(m_calls.begin());
  }
  m_calls.push_back(std::move(call));
}

void BrokenCalls::RecordProgress(const UpstreamRun& run, TimePoint sent_at) {
  const TimePoint now = m_clock.Now();
  const auto has_gone_on = [&](const auto& broken) {
    return broken.run == run && sent_at < broken.broke_at &&
           now - broken.broke_at > kLateBytesTime;
  };
  std::erase_if(m_calls, has_gone_on);
  std::erase_if(m_runs, has_gone_on);
}

void BrokenCalls::RecordUnreachable(const UpstreamRun& run) {
  const auto mark = [&](auto& broken) {
    broken.is_unreachable = broken.is_unreachable || broken.run == run;
  };
  std::ranges::for_each(m_calls, mark);
  std::ranges::for_each(m_runs, mark);
}

std::vector<BrokenRun> BrokenCalls::TakeEndedRuns(
    const RunFinder& find_present_run) {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_runs, [&](const BrokenRun& broken) {
    return now - broken.broke_at > kMaxWait;
  });
  std::vector<BrokenRun> ended;
  std::erase_if(m_runs, [&](const BrokenRun& broken) {
    const bool has_ended =
        broken.is_unreachable || find_present_run(broken.run.id) != broken.run;
    if (has_ended) {
      ended.push_back(broken);
    }
    return has_ended;
  });
  return ended;
}

std::vector<BrokenRun> BrokenCalls::FindOpenRuns() const {
  std::vector<BrokenRun> open = m_runs;
  std::ranges::transform(m_calls, std::back_inserter(open),
                         [](const BrokenCall& call) {
                           return BrokenRun{call.run, call.broke_at};
                         });
  return open;
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
