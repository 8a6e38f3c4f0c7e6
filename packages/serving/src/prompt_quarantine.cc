// Keeps prompts with a part that crashes engines away from the engines.
#include "bambooquay/serving/prompt_quarantine.h"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCrashesToQuarantine = 3;
// Crashes from which on a call is not repeated.
constexpr int kCrashesToStopRepeats = 2;
// Shortest time from the first crash to a quarantine. In it, the parts that
// many prompts share are cleared, and the reports of other entries arrive.
constexpr Duration kMinObservation = milliseconds(500);
// Crashes that are older say nothing about the present.
constexpr Duration kEvidenceLifetime = seconds(60);
constexpr Duration kFirstQuarantine = seconds(30);
// Quarantines double up to 32 minutes.
constexpr int kMaxDoublings = 6;
// A quarantine that has expired is forgotten after this time, if no call came
// that could be its trial.
constexpr Duration kMaxTrialWait = std::chrono::minutes(10);
// A trial whose call ends without an outcome is repeated after this time.
constexpr Duration kTrialTimeout = seconds(5);
// The entry that makes the trial changes after this time, as calls with the
// part may not come to it.
constexpr Duration kTrialTurn = seconds(5);
// Evidence is reported for this long, as single reports may be lost.
constexpr Duration kReportTime = seconds(2);
// Bounds on memory and on the size of a report.
constexpr std::size_t kMaxParts = 256;
constexpr std::size_t kMaxCrashesPerPart = 8;
constexpr std::size_t kMaxReports = 32;
constexpr std::size_t kMaxPartsPerPrompt = 16;

/// @returns the parts that other prompts may have too: all but the last one.
std::span<const PromptPart> SharedParts(const std::vector<PromptPart>& prompt) {
  const std::size_t count = prompt.empty() ? 0 : prompt.size() - 1;
  return std::span(prompt).first(std::min(count, kMaxPartsPerPrompt));
}

bool Contains(const std::vector<PromptPartId>& parts, PromptPartId id) {
  return std::ranges::find(parts, id) != parts.end();
}

}  // namespace

const PromptQuarantine::Part* PromptQuarantine::Find(PromptPartId id) const {
  const auto found = m_parts.find(id);
  return found == m_parts.end() ? nullptr : &found->second;
}

PromptQuarantine::Part& PromptQuarantine::FindOrAdd(PromptPartId id) {
  if (!m_parts.contains(id) && m_parts.size() >= kMaxParts) {
    m_parts.erase(std::ranges::min_element(m_parts, {}, [](const auto& item) {
      return std::pair(item.second.quarantine.has_value(),
                       item.second.updated_at);
    }));
  }
  Part& part = m_parts[id];
  part.updated_at = m_clock.Now();
  return part;
}

int PromptQuarantine::CountCrashes(const Part& part) {
  int count = 0;
  TimePoint last_crash_at{};
  std::ranges::for_each(part.crashes, [&](const Crash& crash) {
    if (crash.begun_at >= last_crash_at) {
      ++count;
      last_crash_at = crash.crashed_at;
    }
  });
  return count;
}

PromptVerdict PromptQuarantine::Judge(const std::vector<PromptPart>& prompt) {
  if (m_parts.empty()) {
    return PromptVerdict::kAllowed;
  }
  std::vector<Quarantine*> trials;
  for (const PromptPart& item : SharedParts(prompt)) {
    const auto found = m_parts.find(item.id);
    if (found == m_parts.end()) {
      continue;
    }
    Evaluate(found->first, found->second);
    auto& quarantine = found->second.quarantine;
    if (!quarantine.has_value()) {
      continue;
    }
    if (!IsTrialDue(item.id, *quarantine, prompt)) {
      return PromptVerdict::kQuarantined;
    }
    trials.push_back(&*quarantine);
  }
  std::ranges::for_each(trials, [this](Quarantine* quarantine) {
    quarantine->trial_started_at = m_clock.Now();
  });
  return trials.empty() ? PromptVerdict::kAllowed : PromptVerdict::kTrial;
}

bool PromptQuarantine::HasCompanions(const Quarantine& quarantine,
                                     const std::vector<PromptPart>& prompt) {
  const auto parts = SharedParts(prompt);
  return std::ranges::all_of(quarantine.companions, [&](PromptPartId id) {
    return std::ranges::find(parts, id, &PromptPart::id) != parts.end();
  });
}

bool PromptQuarantine::IsTrialDue(PromptPartId id, const Quarantine& quarantine,
                                  const std::vector<PromptPart>& prompt) const {
  const TimePoint now = m_clock.Now();
  if (quarantine.trial_started_at.has_value() &&
      now - *quarantine.trial_started_at < kTrialTimeout) {
    return false;
  }
  if (!HasCompanions(quarantine, prompt)) {
    return true;
  }
  if (now < quarantine.until) {
    return false;
  }
  const auto turn =
      static_cast<std::uint64_t>((now - quarantine.until) / kTrialTurn);
  return !m_makes_trial || m_makes_trial(id, turn);
}

const PromptQuarantine::Quarantine* PromptQuarantine::FindApplicable(
    PromptPartId id, const std::vector<PromptPart>& prompt) const {
  const Part* part = Find(id);
  const bool applies = part != nullptr && part->quarantine.has_value() &&
                       HasCompanions(*part->quarantine, prompt);
  return applies ? &*part->quarantine : nullptr;
}

bool PromptQuarantine::IsQuarantined(
    const std::vector<PromptPart>& prompt) const {
  return !m_parts.empty() &&
         std::ranges::any_of(SharedParts(prompt), [&](const auto& item) {
           return FindApplicable(item.id, prompt) != nullptr;
         });
}

bool PromptQuarantine::MayRepeat(const std::vector<PromptPart>& prompt) const {
  return m_parts.empty() ||
         std::ranges::none_of(SharedParts(prompt), [this](const auto& item) {
           const Part* part = Find(item.id);
           return part != nullptr &&
                  (part->quarantine.has_value() ||
                   CountCrashes(*part) >= kCrashesToStopRepeats);
         });
}

Duration PromptQuarantine::TimeLeft(
    const std::vector<PromptPart>& prompt) const {
  Duration left{};
  for (const PromptPart& item : SharedParts(prompt)) {
    if (const auto* quarantine = FindApplicable(item.id, prompt)) {
      left = std::max(left, quarantine->until - m_clock.Now());
    }
  }
  return left;
}

void PromptQuarantine::RecordCrash(const std::vector<PromptPart>& prompt,
                                   std::uint64_t upstream_run,
                                   TimePoint begun_at) {
  const TimePoint now = m_clock.Now();
  Crash crash{{}, upstream_run, begun_at, now};
  std::ranges::transform(SharedParts(prompt), std::back_inserter(crash.parts),
                         &PromptPart::id);
  if (crash.parts.empty()) {
    return;
  }
  std::erase_if(m_own_crashes, [&](const Crash& reported) {
    return now - reported.crashed_at >= kReportTime;
  });
  if (m_own_crashes.size() < kMaxReports) {
    m_own_crashes.push_back(crash);
  }
  AddCrash(crash);
}

void PromptQuarantine::AddCrash(const Crash& crash) {
  for (const PromptPartId id : crash.parts) {
    Part& part = FindOrAdd(id);
    const bool is_outdated =
        part.survived_at.has_value() && crash.crashed_at <= *part.survived_at;
    const bool is_known =
        std::ranges::find(part.crashes, crash.upstream_run,
                          &Crash::upstream_run) != part.crashes.end();
    if (is_outdated || is_known) {
      continue;
    }
    part.crashes.insert(std::ranges::upper_bound(part.crashes, crash.crashed_at,
                                                 {}, &Crash::crashed_at),
                        crash);
    if (part.crashes.size() > kMaxCrashesPerPart) {
      part.crashes.erase(part.crashes.begin());
    }
  }
  // Parts are compared with each other, so each must have the crash first.
  for (const PromptPartId id : crash.parts) {
    const auto found = m_parts.find(id);
    if (found != m_parts.end()) {
      Evaluate(id, found->second);
    }
  }
}

void PromptQuarantine::Evaluate(PromptPartId id, Part& part) {
  const TimePoint now = m_clock.Now();
  std::erase_if(part.crashes, [&](const Crash& crash) {
    return now - crash.crashed_at > kEvidenceLifetime;
  });
  if (part.crashes.empty()) {
    return;
  }
  const TimePoint last_crash_at = part.crashes.back().crashed_at;
  if (!part.quarantine.has_value()) {
    if (CountCrashes(part) >= kCrashesToQuarantine &&
        now - part.crashes.front().crashed_at >= kMinObservation) {
      StartQuarantine(id, part,
                      {last_crash_at, {}, 1, FindCompanions(id, part), {}});
    }
    return;
  }
  Quarantine& quarantine = *part.quarantine;
  if (last_crash_at > quarantine.until) {
    // A trial has failed.
    StartQuarantine(
        id, part,
        {last_crash_at, {}, quarantine.round + 1, quarantine.companions, {}});
  }
  part.quarantine->last_crash_at =
      std::max(part.quarantine->last_crash_at, last_crash_at);
  std::erase_if(part.quarantine->companions, [&](PromptPartId companion) {
    return !Contains(part.crashes.back().parts, companion);
  });
}

std::vector<PromptPartId> PromptQuarantine::FindCompanions(
    PromptPartId id, const Part& part) const {
  std::vector<PromptPartId> companions = part.crashes.front().parts;
  std::erase_if(companions, [&](PromptPartId other_id) {
    const Part* other = Find(other_id);
    const bool is_suspect =
        other != nullptr && (other->quarantine.has_value() ||
                             CountCrashes(*other) >= kCrashesToQuarantine);
    return other_id == id || !is_suspect ||
           !std::ranges::all_of(part.crashes, [&](const Crash& crash) {
             return Contains(crash.parts, other_id);
           });
  });
  return companions;
}

void PromptQuarantine::StartQuarantine(PromptPartId id, Part& part,
                                       Quarantine quarantine) {
  if (quarantine.until == TimePoint{}) {
    const int doublings = std::min(quarantine.round - 1, kMaxDoublings);
    quarantine.until = m_clock.Now() + kFirstQuarantine * (1 << doublings);
  }
  LogEvent(LogLevel::kWarning, "prompt_part_quarantined")
      .With("part", static_cast<std::uint64_t>(id))
      .With("round", quarantine.round)
      .With("crashes", part.crashes.size())
      .With("companions", quarantine.companions.size())
      .With("for_ms", (quarantine.until - m_clock.Now()) / milliseconds(1));
  part.quarantine = std::move(quarantine);
  if (m_on_quarantined) {
    m_on_quarantined();
  }
}

void PromptQuarantine::RecordSurvival(const std::vector<PromptPart>& prompt,
                                      TimePoint begun_at) {
  if (m_parts.empty()) {
    return;
  }
  for (const PromptPart& item : SharedParts(prompt)) {
    const auto found = m_parts.find(item.id);
    if (found != m_parts.end()) {
      found->second.survival_reported_at = m_clock.Now();
      Clear(found->first, found->second, begun_at);
    }
  }
}

void PromptQuarantine::Clear(PromptPartId id, Part& part, TimePoint begun_at) {
  part.survived_at = std::max(part.survived_at.value_or(begun_at), begun_at);
  part.updated_at = m_clock.Now();
  std::erase_if(part.crashes, [&](const Crash& crash) {
    return crash.crashed_at <= *part.survived_at;
  });
  if (!part.quarantine.has_value() ||
      part.quarantine->last_crash_at > *part.survived_at) {
    return;
  }
  part.quarantine.reset();
  for (auto& [other_id, other] : m_parts) {
    if (other.quarantine.has_value()) {
      std::erase(other.quarantine->companions, id);
    }
  }
  LogEvent(LogLevel::kInfo, "prompt_part_cleared")
      .With("part", static_cast<std::uint64_t>(id));
}

void PromptQuarantine::RemoveExpired() {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_parts, [&](const auto& item) {
    const Part& part = item.second;
    return part.quarantine.has_value()
               ? now - part.quarantine->until > kMaxTrialWait
               : now - part.updated_at > kEvidenceLifetime;
  });
}

PromptPartReports PromptQuarantine::MakeReports() const {
  const TimePoint now = m_clock.Now();
  PromptPartReports reports;
  for (const Crash& crash : m_own_crashes) {
    if (now - crash.crashed_at < kReportTime) {
      reports.crashes.push_back({crash.parts, crash.upstream_run,
                                 now - crash.begun_at, now - crash.crashed_at});
    }
  }
  for (const auto& [id, part] : m_parts) {
    if (part.survival_reported_at.has_value() &&
        now - *part.survival_reported_at < kReportTime &&
        reports.survivals.size() < kMaxReports) {
      reports.survivals.push_back({id, now - *part.survived_at});
    }
    if (part.quarantine.has_value() &&
        reports.quarantines.size() < kMaxReports) {
      reports.quarantines.push_back(
          {id, part.quarantine->round, now - part.quarantine->last_crash_at,
           part.quarantine->until - now, part.quarantine->companions});
    }
  }
  return reports;
}

void PromptQuarantine::Merge(const PromptPartReports& reports) {
  const TimePoint now = m_clock.Now();
  for (const PartCrash& crash : reports.crashes) {
    AddCrash({crash.parts, crash.upstream_run, now - crash.begun_age,
              now - crash.crash_age});
  }
  for (const PartQuarantine& reported : reports.quarantines) {
    Part& part = FindOrAdd(reported.part);
    const TimePoint last_crash_at = now - reported.last_crash_age;
    if (part.survived_at.has_value() && *part.survived_at >= last_crash_at) {
      // The sender has missed that the part was cleared.
      part.survival_reported_at = now;
    } else if (!part.quarantine.has_value() ||
               part.quarantine->round < reported.round) {
      StartQuarantine(reported.part, part,
                      {last_crash_at,
                       now + reported.time_left,
                       reported.round,
                       reported.companions,
                       {}});
    }
  }
  for (const PartSurvival& survival : reports.survivals) {
    const auto found = m_parts.find(survival.part);
    if (found != m_parts.end()) {
      Clear(found->first, found->second, now - survival.begun_age);
    }
  }
}

std::size_t PromptQuarantine::quarantined_count() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_parts,
      [](const auto& item) { return item.second.quarantine.has_value(); }));
}

}  // namespace bambooquay
