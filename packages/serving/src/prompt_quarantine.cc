// Keeps prompts with a part that crashes engines away from the engines.
#include "bambooquay/serving/prompt_quarantine.h"

#include <algorithm>
#include <array>
#include <boost/container_hash/hash.hpp>
#include <charconv>
#include <iterator>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCrashesToQuarantine = 3;
// A part is convicted by the crashes of one moment if it was in this share of
// the upstreams that ended then: 3 of 4.
constexpr std::size_t kLossesExplained = 3;
constexpr std::size_t kLossesInAll = 4;
// Crashes from which on a call is not repeated.
constexpr int kCrashesToStopRepeats = 2;
// Shortest time from the first crash to a quarantine. In it, the parts that
// many prompts share are cleared, and the reports of other entries arrive.
constexpr Duration kMinObservation = milliseconds(500);
// Upstreams that are lost at once are seen to break within this time: reports
// of other entries come a little late.
constexpr Duration kSameMoment = milliseconds(40);
// Time from sending a call to its first event, usually.
constexpr Duration kUsualStartTime = milliseconds(250);
// Until then, other entries may still report calls that broke in a crash.
constexpr Duration kSettlingTime = milliseconds(400);
// After crashes of one moment, calls with their parts have this long to
// survive.
constexpr Duration kMomentObservation = seconds(2);
// Upstreams that end this long before or after a crash may have its cause.
constexpr Duration kLossWindow = milliseconds(500);
// Crashes that are older say nothing about the present. Until then a part is
// suspected whose calls come minutes apart.
constexpr Duration kEvidenceLifetime = std::chrono::minutes(10);
// Parts that nothing speaks against any more are remembered for this long.
constexpr Duration kClearedLifetime = seconds(60);
constexpr Duration kFirstQuarantine = seconds(30);
constexpr int kMaxDoublings = 6;
constexpr Duration kMaxQuarantine = kFirstQuarantine * (1 << kMaxDoublings);
// A quarantine that has expired is forgotten after this time, if no call came
// that could be its trial.
constexpr Duration kMaxTrialWait = std::chrono::minutes(10);
// A trial whose call ends without an outcome is repeated after this time.
constexpr Duration kTrialTimeout = seconds(5);
// A trial that its entry reports no longer is over after this time.
constexpr Duration kTrialReportLifetime = seconds(1);
// The entry that makes the trial changes after this time, as calls with the
// part may not come to it. The others hear of a trial sooner.
constexpr Duration kTrialTurn = seconds(1);
// Evidence is reported for this long, as single reports may be lost.
constexpr Duration kReportTime = seconds(2);
// Bounds on memory and on the size of a report.
constexpr std::size_t kMaxParts = 256;
constexpr std::size_t kMaxCrashesPerPart = 8;
constexpr std::size_t kMaxEndedRuns = 256;
constexpr std::size_t kMaxReports = 32;
// Crashes of calls that are not suspected leave room for the others.
constexpr std::size_t kMaxReportedRuns = kMaxReports / 2;
constexpr std::size_t kMaxReportedSurvivals = 64;
constexpr std::size_t kMaxPartsPerCrash = 64;
constexpr std::size_t kMaxLoggedRuns = 64;

/// @returns the parts that other prompts may have too: all but the last one.
std::span<const PromptPart> SharedParts(const std::vector<PromptPart>& prompt) {
  return std::span(prompt).first(prompt.empty() ? 0 : prompt.size() - 1);
}

std::uint64_t ToRunNumber(const UpstreamRun& run) {
  std::size_t number = std::hash<UpstreamId>()(run.id);
  boost::hash_combine(number, run.started_at_ms);
  return number;
}

/// @returns the id as callers write it.
std::string ToText(PromptPartId id) {
  std::array<char, 16> digits{};
  const auto written =
      std::to_chars(digits.data(), digits.data() + digits.size(),
                    static_cast<std::uint64_t>(id), 16);
  return {digits.data(), written.ptr};
}

bool Contains(const std::vector<PromptPartId>& parts, PromptPartId id) {
  return std::ranges::find(parts, id) != parts.end();
}

void AddParts(std::vector<PromptPartId>& to,
              const std::vector<PromptPartId>& from) {
  std::ranges::copy_if(from, std::back_inserter(to), [&](PromptPartId id) {
    return to.size() < kMaxPartsPerCrash && !Contains(to, id);
  });
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

bool PromptQuarantine::IsLater(const Crash& crash, TimePoint crashed_at) {
  return crashed_at == TimePoint{} || crash.begun_at > crashed_at + kSameMoment;
}

int PromptQuarantine::CountCrashes(const Part& part) {
  int count = 0;
  TimePoint last_crash_at{};
  std::ranges::for_each(part.crashes, [&](const Crash& crash) {
    if (IsLater(crash, last_crash_at)) {
      ++count;
      last_crash_at = crash.crashed_at;
    }
  });
  return count;
}

std::vector<PromptPartId> PromptQuarantine::SuspectParts(
    const std::vector<PromptPart>& prompt) const {
  std::vector<PromptPartId> parts;
  std::ranges::transform(SharedParts(prompt), std::back_inserter(parts),
                         &PromptPart::id);
  if (parts.size() > kMaxPartsPerCrash) {
    std::stable_partition(parts.begin(), parts.end(), [this](PromptPartId id) {
      return m_recent_survivals.Find(id).all().empty();
    });
    parts.resize(kMaxPartsPerCrash);
  }
  return parts;
}

PromptVerdict PromptQuarantine::Judge(const std::vector<PromptPart>& prompt) {
  if (m_parts.empty()) {
    return PromptVerdict::kAllowed;
  }
  // The evaluation of one part may change the others.
  for (const PromptPart& item : SharedParts(prompt)) {
    const auto found = m_parts.find(item.id);
    if (found != m_parts.end()) {
      Evaluate(found->first, found->second);
    }
  }
  std::vector<std::pair<PromptPartId, Quarantine*>> trials;
  for (const PromptPart& item : SharedParts(prompt)) {
    const auto found = m_parts.find(item.id);
    if (found == m_parts.end() || !found->second.quarantine.has_value()) {
      continue;
    }
    Quarantine& quarantine = *found->second.quarantine;
    if (!IsTrialDue(item.id, quarantine, prompt)) {
      return PromptVerdict::kQuarantined;
    }
    trials.emplace_back(item.id, &quarantine);
  }
  for (const auto& [id, quarantine] : trials) {
    quarantine->trial_started_at = m_clock.Now();
    LogEvent(LogLevel::kInfo, "prompt_trial_started")
        .With("part", ToText(id))
        .With("round", quarantine->round)
        .With("reason", HasCompanions(quarantine->companions, prompt)
                            ? "expired"
                            : "companion")
        .With("companions", quarantine->companions.size());
  }
  return trials.empty() ? PromptVerdict::kAllowed : PromptVerdict::kTrial;
}

void PromptQuarantine::WithdrawTrial(const std::vector<PromptPart>& prompt) {
  for (const PromptPart& item : SharedParts(prompt)) {
    const auto found = m_parts.find(item.id);
    if (found != m_parts.end() && found->second.quarantine.has_value()) {
      found->second.quarantine->trial_started_at.reset();
    }
  }
}

bool PromptQuarantine::HasCompanions(
    const std::vector<PromptPartId>& companions,
    const std::vector<PromptPart>& prompt) {
  const auto parts = SharedParts(prompt);
  return std::ranges::all_of(companions, [&](PromptPartId id) {
    return std::ranges::find(parts, id, &PromptPart::id) != parts.end();
  });
}

bool PromptQuarantine::IsTrialDue(PromptPartId id, const Quarantine& quarantine,
                                  const std::vector<PromptPart>& prompt) const {
  const TimePoint now = m_clock.Now();
  if (TrialAge(quarantine).has_value() || now < quarantine.other_trial_until) {
    return false;
  }
  if (now < quarantine.until && HasCompanions(quarantine.companions, prompt)) {
    return false;
  }
  const auto turn = static_cast<std::uint64_t>(
      (now - quarantine.until + kMaxQuarantine) / kTrialTurn);
  return !m_makes_trial || m_makes_trial(id, turn);
}

const PromptQuarantine::Quarantine* PromptQuarantine::FindApplicable(
    PromptPartId id, const std::vector<PromptPart>& prompt) const {
  const Part* part = Find(id);
  const bool applies = part != nullptr && part->quarantine.has_value() &&
                       HasCompanions(part->quarantine->companions, prompt);
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
         std::ranges::none_of(SharedParts(prompt), [&](const auto& item) {
           const Part* part = Find(item.id);
           if (part == nullptr) {
             return false;
           }
           if (part->quarantine.has_value()) {
             return true;
           }
           return CountCrashes(*part) >= kCrashesToStopRepeats &&
                  HasCompanions(
                      FindCompanions(item.id, *part, kCrashesToStopRepeats),
                      prompt);
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

void PromptQuarantine::RecordBroken(const std::vector<PromptPart>& prompt,
                                    const UpstreamRun& run, TimePoint begun_at,
                                    bool has_begun,
                                    const CallProgress& progress) {
  m_broken_calls.Record(
      {SuspectParts(prompt), run, begun_at, m_clock.Now(), progress});
  if (has_begun && !progress.has_value() && !SharedParts(prompt).empty()) {
    RecordCrash({SuspectParts(prompt), ToRunNumber(run), begun_at,
                 m_clock.Now(), kNoEvent, false});
  }
}

void PromptQuarantine::RecordCrash(const std::vector<PromptPart>& prompt,
                                   std::uint64_t upstream_run,
                                   TimePoint begun_at) {
  RecordCrash({SuspectParts(prompt), upstream_run, begun_at, m_clock.Now()});
}

void PromptQuarantine::RecordCrash(const Crash& crash) {
  const TimePoint now = m_clock.Now();
  std::erase_if(m_own_crashes, [&](const OwnCrash& own) {
    return now - own.recorded_at >= kReportTime;
  });
  if (m_own_crashes.size() <
      (crash.parts.empty() ? kMaxReportedRuns : kMaxReports)) {
    m_own_crashes.push_back({crash, now});
  }
  Crash own = crash;
  own.is_own = true;
  AddCrash(own);
}

void PromptQuarantine::Amend(Crash& known, const Crash& report) {
  known.progress = LessAdvanced(known.progress, report.progress);
  known.is_own = known.is_own || report.is_own;
  known.is_certain = known.is_certain || report.is_certain;
  // A report that was under way for longer says a later time.
  const Duration delay = known.crashed_at - report.crashed_at;
  if (delay > Duration::zero()) {
    known.crashed_at -= delay;
    known.begun_at -= delay;
  }
}

void PromptQuarantine::ShareParts(Crash& crash) {
  std::vector<Crash*> known;
  for (auto& [id, part] : m_parts) {
    const auto found = std::ranges::find(part.crashes, crash.upstream_run,
                                         &Crash::upstream_run);
    if (found != part.crashes.end()) {
      known.push_back(&*found);
      AddParts(crash.parts, found->parts);
    }
  }
  std::ranges::for_each(
      known, [&](Crash* other) { AddParts(other->parts, crash.parts); });
}

PromptQuarantine::Culprits PromptQuarantine::FindCulprits(
    std::size_t crashes) const {
  Culprits culprits;
  for (const auto& [id, part] : m_parts) {
    if (part.quarantine.has_value() && part.quarantine->companions.empty() &&
        part.crashes.size() > crashes) {
      culprits.emplace_back(id, &part);
    }
  }
  return culprits;
}

bool PromptQuarantine::HasCulprit(const std::vector<PromptPartId>& parts,
                                  const Culprits& culprits) {
  return std::ranges::any_of(culprits, [&](const auto& culprit) {
    return Contains(parts, culprit.first);
  });
}

bool PromptQuarantine::IsExplained(const Crash& crash,
                                   const Culprits& culprits) {
  return std::ranges::any_of(culprits, [&](const auto& culprit) {
    const auto& crashes = culprit.second->crashes;
    return Contains(crash.parts, culprit.first) ||
           std::ranges::find(crashes, crash.upstream_run,
                             &Crash::upstream_run) != crashes.end();
  });
}

void PromptQuarantine::DropExplained() {
  for (auto& [id, part] : m_parts) {
    const Culprits culprits = FindCulprits(part.crashes.size());
    if (culprits.empty()) {
      continue;
    }
    if (part.quarantine.has_value() &&
        HasCulprit(part.quarantine->companions, culprits)) {
      part.quarantine.reset();
    }
    if (!part.quarantine.has_value()) {
      std::erase_if(part.crashes, [&](const Crash& crash) {
        return IsExplained(crash, culprits);
      });
    }
  }
}

void PromptQuarantine::AddCrash(const Crash& report) {
  Crash crash = report;
  crash.recorded_at = m_clock.Now();
  ShareParts(crash);
  if (crash.is_certain) {
    RecordEndedRun(crash);
  }
  for (const PromptPartId id : report.parts) {
    const bool is_new = !m_parts.contains(id);
    Part& part = FindOrAdd(id);
    if (is_new) {
      std::ranges::for_each(
          m_recent_survivals.Find(id).all(),
          [&](const Survival& known) { part.survivals.Add(known); });
    }
    if (part.survivals.AnySince(crash.crashed_at, crash.progress)) {
      // The sender may have missed that the part was cleared.
      part.survival_reported_at = m_clock.Now();
      continue;
    }
    if (!part.quarantine.has_value() &&
        IsExplained(crash, FindCulprits(part.crashes.size()))) {
      continue;
    }
    const auto known = std::ranges::find(part.crashes, crash.upstream_run,
                                         &Crash::upstream_run);
    if (known != part.crashes.end()) {
      Amend(*known, crash);
    } else {
      part.crashes.push_back(crash);
    }
    std::ranges::stable_sort(part.crashes, {}, &Crash::crashed_at);
    if (part.crashes.size() > kMaxCrashesPerPart) {
      part.crashes.erase(part.crashes.begin());
    }
  }
  LogCrash(crash);
  // Parts are compared with each other, so each must have the crash first.
  for (const PromptPartId id : report.parts) {
    const auto found = m_parts.find(id);
    if (found != m_parts.end()) {
      Evaluate(id, found->second);
    }
  }
}

void PromptQuarantine::LogCrash(const Crash& crash) {
  if (crash.parts.empty()) {
    return;
  }
  const bool is_known = std::ranges::find(m_logged_runs, crash.upstream_run) !=
                        m_logged_runs.end();
  if (is_known) {
    return;
  }
  m_logged_runs.push_back(crash.upstream_run);
  if (m_logged_runs.size() > kMaxLoggedRuns) {
    m_logged_runs.pop_front();
  }
  PromptPartId suspect{};
  int moments = 0;
  std::size_t runs = 0;
  for (const PromptPartId id : crash.parts) {
    const Part* part = Find(id);
    if (part != nullptr && part->crashes.size() > runs) {
      suspect = id;
      runs = part->crashes.size();
      moments = CountCrashes(*part);
    }
  }
  LogEvent(LogLevel::kInfo, "prompt_crash_recorded")
      .With("run", crash.upstream_run)
      .With("own", crash.is_own ? "yes" : "no")
      .With("certain", crash.is_certain ? "yes" : "no")
      .With("parts", crash.parts.size())
      .With("most_suspect", ToText(suspect))
      .With("runs", runs)
      .With("moments", moments);
}

void PromptQuarantine::RecordEndedRun(const Crash& crash) {
  if (m_ended_runs.size() >= kMaxEndedRuns &&
      !m_ended_runs.contains(crash.upstream_run)) {
    m_ended_runs.erase(std::ranges::min_element(
        m_ended_runs, {},
        [](const auto& item) { return item.second.ended_at; }));
  }
  const auto [item, is_new] = m_ended_runs.try_emplace(
      crash.upstream_run,
      EndedRun{crash.crashed_at, crash.progress, crash.parts});
  if (!is_new) {
    EndedRun& known = item->second;
    known.ended_at = std::min(known.ended_at, crash.crashed_at);
    known.progress = LessAdvanced(known.progress, crash.progress);
    AddParts(known.parts, crash.parts);
  }
}

bool PromptQuarantine::IsExact(const Crash& crash) const {
  // The times of a report may be late until the next copies have come.
  return crash.is_own || m_clock.Now() - crash.recorded_at >= kSettlingTime;
}

bool PromptQuarantine::IsConvictedByLosses(PromptPartId id,
                                           const Part& part) const {
  if (std::ranges::count_if(part.crashes, &Crash::is_certain) <
      kCrashesToQuarantine) {
    return false;
  }
  std::vector<const EndedRun*> ended;
  for (const auto& [number, run] : m_ended_runs) {
    if (Contains(run.parts, id) &&
        !part.survivals.AnySince(run.ended_at, run.progress)) {
      ended.push_back(&run);
    }
  }
  if (ended.size() < kCrashesToQuarantine) {
    return false;
  }
  std::ranges::sort(ended, {}, &EndedRun::ended_at);
  const TimePoint enough_at = ended[kCrashesToQuarantine - 1]->ended_at;
  const std::size_t losses = CountLosses(ended.front()->ended_at - kLossWindow,
                                         ended.back()->ended_at + kLossWindow);
  if (m_clock.Now() - enough_at < kMomentObservation ||
      ended.size() * kLossesInAll < losses * kLossesExplained) {
    return false;
  }
  const CallProgress progress = FurthestProgress(part);
  return std::ranges::any_of(ended, [&](const EndedRun* run) {
    return std::ranges::any_of(run->parts, [&](PromptPartId neighbour) {
      return neighbour != id && HasSurvived(neighbour, enough_at, progress);
    });
  });
}

std::size_t PromptQuarantine::CountLosses(TimePoint first,
                                          TimePoint last) const {
  std::set<std::uint64_t> runs;
  const auto add = [&](std::uint64_t run, TimePoint ended_at) {
    if (ended_at >= first && ended_at <= last) {
      runs.insert(run);
    }
  };
  for (const auto& [number, run] : m_ended_runs) {
    add(number, run.ended_at);
  }
  for (const auto& [id, part] : m_parts) {
    std::ranges::for_each(part.crashes, [&](const Crash& crash) {
      add(crash.upstream_run, crash.crashed_at);
    });
  }
  for (const BrokenRun& broken : m_broken_calls.FindOpenRuns()) {
    add(ToRunNumber(broken.run), broken.broke_at);
  }
  return runs.size();
}

bool PromptQuarantine::HasSurvived(PromptPartId id, TimePoint since,
                                   const CallProgress& broken) const {
  const Part* part = Find(id);
  return (part != nullptr && part->survivals.AnySince(since, broken)) ||
         m_recent_survivals.Find(id).AnySince(since, broken);
}

bool PromptQuarantine::IsConvictedBySequence(const Part& part) const {
  const TimePoint now = m_clock.Now();
  int count = 0;
  TimePoint counted_at{};
  std::ranges::for_each(part.crashes, [&](const Crash& crash) {
    if (count < kCrashesToQuarantine && IsExact(crash) &&
        IsLater(crash, counted_at)) {
      ++count;
      counted_at = crash.crashed_at;
    }
  });
  if (count < kCrashesToQuarantine ||
      std::ranges::none_of(part.crashes, &Crash::is_certain)) {
    return false;
  }
  // Calls that were sent after the crashes need this long to outlive them.
  const CallProgress progress = FurthestProgress(part);
  const Duration wait = progress.has_value()
                            ? TimeToOutlive(*progress) + kUsualStartTime
                            : Duration::zero();
  return now - part.crashes.front().crashed_at >= kMinObservation &&
         now - counted_at >= wait;
}

void PromptQuarantine::Evaluate(PromptPartId id, Part& part) {
  const TimePoint now = m_clock.Now();
  const std::size_t expired =
      std::erase_if(part.crashes, [&](const Crash& crash) {
        return now - crash.crashed_at > kEvidenceLifetime;
      });
  if (expired > 0) {
    LogEvent(LogLevel::kInfo, "prompt_evidence_expired")
        .With("part", ToText(id))
        .With("expired", expired)
        .With("runs", part.crashes.size());
  }
  if (part.crashes.empty()) {
    return;
  }
  const TimePoint last_crash_at = part.crashes.back().crashed_at;
  if (!part.quarantine.has_value()) {
    if (IsConvictedBySequence(part) || IsConvictedByLosses(id, part)) {
      StartQuarantine(id, part,
                      {last_crash_at,
                       FurthestProgress(part),
                       {},
                       1,
                       FindCompanions(id, part, kCrashesToQuarantine),
                       {},
                       {}});
    }
    return;
  }
  Quarantine& quarantine = *part.quarantine;
  if (last_crash_at > quarantine.until) {
    // A trial has failed.
    StartQuarantine(id, part,
                    {last_crash_at,
                     {},
                     {},
                     quarantine.round + 1,
                     quarantine.companions,
                     {},
                     {}});
    if (!part.quarantine.has_value()) {
      return;
    }
  }
  part.quarantine->last_crash_at =
      std::max(part.quarantine->last_crash_at, last_crash_at);
  part.quarantine->progress =
      MoreAdvanced(part.quarantine->progress, FurthestProgress(part));
  const std::size_t removed =
      std::erase_if(part.quarantine->companions, [&](PromptPartId companion) {
        return !IsInSettledCrashes(companion, part);
      });
  if (removed > 0) {
    DropExplained();
  }
}

bool PromptQuarantine::IsInSettledCrashes(PromptPartId id,
                                          const Part& part) const {
  const TimePoint now = m_clock.Now();
  return std::ranges::all_of(part.crashes, [&](const Crash& crash) {
    return now - crash.recorded_at < kSettlingTime || Contains(crash.parts, id);
  });
}

CallProgress PromptQuarantine::FurthestProgress(const Part& part) {
  CallProgress furthest = kNoEvent;
  std::ranges::for_each(part.crashes, [&](const Crash& crash) {
    furthest = MoreAdvanced(furthest, crash.progress);
  });
  return furthest;
}

std::vector<PromptPartId> PromptQuarantine::FindCompanions(
    PromptPartId id, const Part& part, int min_crashes) const {
  // Another part may still get reports of the newest crashes.
  const TimePoint now = m_clock.Now();
  min_crashes -= static_cast<int>(
      std::ranges::count_if(part.crashes, [&](const Crash& crash) {
        return now - crash.recorded_at < kSettlingTime;
      }));
  // A crash that is half known may lack the cause, so all are searched.
  std::set<PromptPartId> candidates;
  std::ranges::for_each(part.crashes, [&](const Crash& crash) {
    candidates.insert(crash.parts.begin(), crash.parts.end());
  });
  std::vector<PromptPartId> companions;
  std::ranges::copy_if(
      candidates, std::back_inserter(companions), [&](PromptPartId other_id) {
        const Part* other = Find(other_id);
        const bool is_suspect =
            other != nullptr &&
            (other->quarantine.has_value() ||
             static_cast<int>(other->crashes.size()) >= min_crashes);
        return other_id != id && is_suspect &&
               IsInSettledCrashes(other_id, part);
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
      .With("part", ToText(id))
      .With("round", quarantine.round)
      .With("crashes", part.crashes.size())
      .With("companions", quarantine.companions.size())
      .With("for_ms", (quarantine.until - m_clock.Now()) / milliseconds(1));
  part.quarantine = std::move(quarantine);
  DropExplained();
  if (m_on_quarantined) {
    m_on_quarantined();
  }
}

void PromptQuarantine::RecordSurvival(const std::vector<PromptPart>& prompt,
                                      TimePoint begun_at, Duration lasted) {
  for (const PromptPart& item : SharedParts(prompt)) {
    m_recent_survivals.Add(item.id, {begun_at, lasted});
    const auto found = m_parts.find(item.id);
    if (found != m_parts.end()) {
      found->second.survival_reported_at = m_clock.Now();
      Clear(found->first, found->second, {begun_at, lasted});
    }
  }
}

void PromptQuarantine::Clear(PromptPartId id, Part& part,
                             const Survival& survival) {
  part.survivals.Add(survival);
  part.updated_at = m_clock.Now();
  std::erase_if(part.crashes, [&](const Crash& crash) {
    return part.survivals.AnySince(crash.crashed_at, crash.progress);
  });
  if (!part.quarantine.has_value() ||
      !part.survivals.AnySince(part.quarantine->last_crash_at,
                               part.quarantine->progress)) {
    return;
  }
  part.quarantine.reset();
  for (auto& [other_id, other] : m_parts) {
    if (other.quarantine.has_value()) {
      std::erase(other.quarantine->companions, id);
    }
  }
  DropExplained();
  LogEvent(LogLevel::kInfo, "prompt_part_cleared").With("part", ToText(id));
}

void PromptQuarantine::RecordCertainCrashes() {
  if (!m_find_present_run) {
    return;
  }
  const TimePoint now = m_clock.Now();
  for (const BrokenRun& open : m_broken_calls.FindOpenRuns()) {
    const auto ended = m_ended_runs.find(ToRunNumber(open.run));
    if (ended != m_ended_runs.end() &&
        open.broke_at <= ended->second.ended_at + kLossWindow) {
      m_broken_calls.RecordUnreachable(open.run);
    }
  }
  for (const BrokenCall& call :
       m_broken_calls.TakeCrashed(m_find_present_run)) {
    LogEvent(LogLevel::kInfo, "call_broken_by_crash")
        .With("upstream", call.run.id.value())
        .With("run", call.run.started_at_ms)
        .WithMilliseconds("progress_ms", call.progress)
        .With("broke_ms_ago", (now - call.broke_at) / milliseconds(1));
    RecordCrash({call.parts, ToRunNumber(call.run), call.begun_at,
                 call.broke_at, call.progress});
  }
  for (const BrokenRun& ended :
       m_broken_calls.TakeEndedRuns(m_find_present_run)) {
    RecordCrash({{}, ToRunNumber(ended.run), ended.broke_at, ended.broke_at});
  }
}

void PromptQuarantine::Update() {
  const TimePoint now = m_clock.Now();
  RecordCertainCrashes();
  m_recent_survivals.RemoveExpired();
  std::erase_if(m_ended_runs, [&](const auto& item) {
    return now - item.second.ended_at > kEvidenceLifetime;
  });
  std::erase_if(m_parts, [&](const auto& item) {
    const Part& part = item.second;
    return part.quarantine.has_value()
               ? now - part.quarantine->until > kMaxTrialWait
               : now - part.updated_at > (part.crashes.empty()
                                              ? kClearedLifetime
                                              : kEvidenceLifetime);
  });
}

PromptPartReports PromptQuarantine::MakeReports() const {
  const TimePoint now = m_clock.Now();
  PromptPartReports reports;
  for (const auto& [crash, recorded_at] : m_own_crashes) {
    if (now - recorded_at < kReportTime) {
      reports.crashes.push_back({crash.parts, crash.upstream_run,
                                 now - crash.begun_at, now - crash.crashed_at,
                                 crash.progress, crash.is_certain});
    }
  }
  for (const auto& [id, part] : m_parts) {
    if (part.survival_reported_at.has_value() &&
        now - *part.survival_reported_at < kReportTime) {
      // The newest one, and the one that lasted longest.
      const auto& survivals = part.survivals.all();
      const std::size_t count = std::min<std::size_t>(survivals.size(), 2);
      for (std::size_t i = 0;
           i < count && reports.survivals.size() < kMaxReportedSurvivals; ++i) {
        const Survival& survival =
            i == 0 ? survivals.back() : survivals.front();
        reports.survivals.push_back(
            {id, now - survival.begun_at, survival.lasted});
      }
    }
  }
  reports.quarantines = MakeQuarantineReports();
  return reports;
}

std::vector<PartQuarantine> PromptQuarantine::MakeQuarantineReports() const {
  const TimePoint now = m_clock.Now();
  std::vector<PartQuarantine> reports;
  for (const auto& [id, part] : m_parts) {
    if (part.quarantine.has_value() && reports.size() < kMaxReports) {
      const Quarantine& quarantine = *part.quarantine;
      reports.push_back({id, quarantine.round, now - quarantine.last_crash_at,
                         quarantine.until - now, quarantine.companions,
                         quarantine.progress, TrialAge(quarantine)});
    }
  }
  return reports;
}

void PromptQuarantine::Merge(const PromptPartReports& reports) {
  const TimePoint now = m_clock.Now();
  for (const PartCrash& crash : reports.crashes) {
    AddCrash({crash.parts, crash.upstream_run, now - crash.begun_age,
              now - crash.crash_age, crash.progress, crash.is_certain});
  }
  if (!reports.crashes.empty()) {
    RecordCertainCrashes();
  }
  for (const PartQuarantine& reported : reports.quarantines) {
    Part& part = FindOrAdd(reported.part);
    const TimePoint last_crash_at = now - reported.last_crash_age;
    if (part.survivals.AnySince(last_crash_at, reported.progress)) {
      // The sender has missed that the part was cleared.
      part.survival_reported_at = now;
    } else if (HasCulprit(reported.companions,
                          FindCulprits(part.crashes.size()))) {
      // The sender has not heard yet that the companion is the cause.
      continue;
    } else if (!part.quarantine.has_value() ||
               part.quarantine->round < reported.round) {
      StartQuarantine(reported.part, part,
                      {last_crash_at,
                       reported.progress,
                       now + reported.time_left,
                       reported.round,
                       reported.companions,
                       {},
                       {}});
    }
    if (part.quarantine.has_value() && reported.trial_age.has_value()) {
      part.quarantine->other_trial_until =
          now +
          std::min(kTrialReportLifetime, kTrialTimeout - *reported.trial_age);
    }
  }
  for (const PartSurvival& survival : reports.survivals) {
    const auto found = m_parts.find(survival.part);
    if (found != m_parts.end()) {
      Clear(found->first, found->second,
            {now - survival.begun_age, survival.lasted});
    }
  }
}

std::optional<Duration> PromptQuarantine::TrialAge(
    const Quarantine& quarantine) const {
  if (!quarantine.trial_started_at.has_value()) {
    return std::nullopt;
  }
  const Duration age = m_clock.Now() - *quarantine.trial_started_at;
  return age < kTrialTimeout ? std::optional(age) : std::nullopt;
}

std::size_t PromptQuarantine::quarantined_count() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      m_parts,
      [](const auto& item) { return item.second.quarantine.has_value(); }));
}

}  // namespace bambooquay
