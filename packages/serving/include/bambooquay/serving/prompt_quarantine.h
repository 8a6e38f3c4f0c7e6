// Keeps prompts with a part that crashes engines away from the engines.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/quarantine/broken_calls.h"
#include "bambooquay/quarantine/recent_survivals.h"
#include "bambooquay/quarantine/survival.h"
#include "bambooquay/serving/call_codec.h"

namespace bambooquay {

/// Whether a call may be sent to an upstream, by the parts of its prompt.
enum class PromptVerdict : std::uint8_t {
  kAllowed,
  /// Allowed once, to find out whether the prompt still crashes engines.
  kTrial,
  kQuarantined,
};

/// Finds the part of prompts under which engines crash. A call whose connection
/// breaks is suspected of the break, and with it each part of its prompt but
/// the last one, which no other prompt has: at once if it has begun to respond
/// and sent no event, else as soon as the run of its upstream is known to have
/// ended. A call that begins later and gets clearly further clears all its
/// parts. What is left after three crashes is the part that no call survives.
/// If several parts are left, prompts with all of them are kept away, and a
/// prompt with only some of them is a trial that tells them apart.
///
/// Load it answers: a few requests a second with one such part, each of which
/// takes an engine and all calls on it away for seconds.
///
/// Crashes count only if they cannot have one cause besides the part, each on
/// another run of an upstream: those by calls that began after the crash
/// before, of which at least one must be certain (the run of its upstream has
/// ended); or those of one moment, all certain, if the part was on most of the
/// upstreams that ended then, and calls with its neighbours survive. So neither
/// one broken upstream nor the loss of many at once makes a quarantine. A crash
/// under a part that is kept away says nothing about other parts.
///
/// Entries exchange what they have seen in their statuses, so that all of them
/// decide alike; one entry at a time may make a trial, and the others hear of
/// it. A quarantine ends when a call with the part survives: a trial,
/// or one that was on its way. A crash in a trial doubles its time.
///
/// @code
/// PromptQuarantine quarantine(clock);
/// if (quarantine.Judge(prompt) == PromptVerdict::kQuarantined) {
///   Refuse(quarantine.TimeLeft(prompt));
/// }
/// quarantine.RecordCrash(prompt, upstream_run, begun_at);
/// @endcode
class PromptQuarantine {
 public:
  /// Decides whether this entry makes the next trial of a part. `turn` grows
  /// with time, so that the entry changes.
  using TrialChooser =
      std::function<bool(PromptPartId part, std::uint64_t turn)>;

  explicit PromptQuarantine(const Clock& clock) noexcept : m_clock(clock) {}

  void SetTrialChooser(TrialChooser chooser) {
    m_makes_trial = std::move(chooser);
  }
  /// Sets a handler that runs when a part is put under quarantine.
  void OnQuarantined(std::function<void()> handler) {
    m_on_quarantined = std::move(handler);
  }

  /// Decides on a new call. A trial counts as started.
  [[nodiscard]] PromptVerdict Judge(const std::vector<PromptPart>& prompt);
  /// Records that the call of a trial has ended and did not run.
  void WithdrawTrial(const std::vector<PromptPart>& prompt);
  /// @returns whether `prompt` is under quarantine, also if a trial is due.
  [[nodiscard]] bool IsQuarantined(const std::vector<PromptPart>& prompt) const;
  /// @returns whether a call whose attempt has failed may be sent again. A call
  ///   that is suspected of two crashes may not.
  [[nodiscard]] bool MayRepeat(const std::vector<PromptPart>& prompt) const;
  /// @returns the time until the quarantine of `prompt` expires; zero or less
  /// if
  ///   it has expired, or the prompt only waits for the outcome of a trial.
  [[nodiscard]] Duration TimeLeft(const std::vector<PromptPart>& prompt) const;

  /// Sets how to find out whether an upstream's run has ended.
  void SetRunFinder(BrokenCalls::RunFinder finder) {
    m_find_present_run = std::move(finder);
  }

  /// Records that the connection of a call broke.
  /// @param begun_at  when the upstream began to respond, or got the call.
  /// @param has_begun  whether it began to respond with a stream.
  void RecordBroken(const std::vector<PromptPart>& prompt,
                    const UpstreamRun& run, TimePoint begun_at, bool has_begun,
                    const CallProgress& progress);
  /// Records that a call that was sent at `sent_at` gets more of its response.
  void RecordProgress(const UpstreamRun& run, TimePoint sent_at) {
    m_broken_calls.RecordProgress(run, sent_at);
  }
  /// Records that no connection to an upstream could be made.
  void RecordUnreachable(const UpstreamRun& run) {
    m_broken_calls.RecordUnreachable(run);
  }
  /// Records that a call broke as its upstream ended.
  /// @param upstream_run  identifies the upstream and its start.
  /// @param begun_at  when the upstream began to respond.
  void RecordCrash(const std::vector<PromptPart>& prompt,
                   std::uint64_t upstream_run, TimePoint begun_at);
  /// Records how far a call has come.
  /// @param lasted  time since its first event, or kCompleteCall.
  void RecordSurvival(const std::vector<PromptPart>& prompt, TimePoint begun_at,
                      Duration lasted = Duration::zero());

  /// Counts the crashes that are certain now, and forgets parts that were not
  /// suspected for a while.
  void Update();
  /// @returns the quarantines that the other entries need to know of.
  [[nodiscard]] std::vector<PartQuarantine> MakeQuarantineReports() const;
  /// @returns all that the other entries need to know.
  [[nodiscard]] PromptPartReports MakeReports() const;
  /// Takes over what another entry has reported.
  void Merge(const PromptPartReports& reports);

  /// @returns the number of parts that are under quarantine.
  [[nodiscard]] std::size_t quarantined_count() const;

 private:
  struct Crash {
    /// Shared parts of the prompts of the calls that broke; empty if none of
    /// them is suspected.
    std::vector<PromptPartId> parts;
    std::uint64_t upstream_run = 0;
    TimePoint begun_at{};
    TimePoint crashed_at{};
    /// Of the call that had come the least far.
    CallProgress progress = kNoEvent;
    /// Whether the run of the upstream is known to have ended.
    bool is_certain = true;
    /// Whether this entry has seen it itself.
    bool is_own = false;
    /// When this entry learned of it.
    TimePoint recorded_at{};
  };
  /// A run of an upstream that ended under calls that broke.
  struct EndedRun {
    TimePoint ended_at{};
    CallProgress progress = kNoEvent;
    std::vector<PromptPartId> parts;
  };
  struct OwnCrash {
    Crash crash;
    TimePoint recorded_at{};
  };
  struct Quarantine {
    TimePoint last_crash_at{};
    /// How far any of the calls had come; a survival must last longer.
    CallProgress progress = kNoEvent;
    TimePoint until{};
    /// Quarantines of the part without a survival in between.
    int round = 1;
    /// Parts that may be the cause instead: each was in all prompts that count
    /// against this part, and has not been cleared.
    std::vector<PromptPartId> companions;
    /// Of this entry's last trial.
    std::optional<TimePoint> trial_started_at;
    /// Until then another entry's trial is under way, unless it is reported
    /// again.
    TimePoint other_trial_until{};
  };
  struct Part {
    /// By time; none is older than the last survival.
    std::vector<Crash> crashes;
    std::optional<Quarantine> quarantine;
    Survivals survivals;
    /// When other entries last needed to know of the survival.
    std::optional<TimePoint> survival_reported_at;
    TimePoint updated_at{};
  };
  using Parts = std::map<PromptPartId, Part>;
  using Culprits = std::vector<std::pair<PromptPartId, const Part*>>;

  /// @returns the shared parts of a prompt whose call broke. If there are very
  ///   many, some of those that calls have survived lately are left out.
  [[nodiscard]] std::vector<PromptPartId> SuspectParts(
      const std::vector<PromptPart>& prompt) const;
  [[nodiscard]] const Part* Find(PromptPartId id) const;
  /// @returns the part, which is added if it is new.
  Part& FindOrAdd(PromptPartId id);
  void RecordCrash(const Crash& crash);
  void AddCrash(const Crash& report);
  /// Adds what another report says of a crash that is known.
  static void Amend(Crash& known, const Crash& report);
  /// Logs a crash with the evidence against the part that it is most likely by,
  /// once for each run of an upstream.
  void LogCrash(const Crash& crash);
  /// Records the crashes of calls whose run has ended since they broke, as far
  /// as any entry knows.
  void RecordCertainCrashes();
  /// Tells a crash, and what is known of the same one, each other's parts: the
  /// calls that broke in it may have none in common.
  void ShareParts(Crash& crash);
  /// @returns the parts under quarantine that may be the cause instead of a
  ///   part with this many crashes: they have more, and no companion.
  [[nodiscard]] Culprits FindCulprits(std::size_t crashes) const;
  [[nodiscard]] static bool HasCulprit(const std::vector<PromptPartId>& parts,
                                       const Culprits& culprits);
  /// @returns whether a crash is the work of one of the culprits.
  [[nodiscard]] static bool IsExplained(const Crash& crash,
                                        const Culprits& culprits);
  /// Forgets the crashes of other parts that a part under quarantine explains.
  void DropExplained();
  /// Clears the part of all crashes until a surviving call began.
  void Clear(PromptPartId id, Part& part, const Survival& survival);
  /// Remembers that the run of an upstream has ended, and under which parts.
  void RecordEndedRun(const Crash& crash);
  /// @returns whether the times of a crash are those of the entry that saw it.
  [[nodiscard]] bool IsExact(const Crash& crash) const;
  /// @returns whether the part was in enough crashes one after the other, and
  ///   calls with it had the time to survive.
  [[nodiscard]] bool IsConvictedBySequence(const Part& part) const;
  /// @returns whether the part was on most of the upstreams that ended, and
  ///   calls with its neighbours have survived since.
  [[nodiscard]] bool IsConvictedByLosses(PromptPartId id,
                                         const Part& part) const;
  /// @returns the number of runs that ended, or may have, in this time.
  [[nodiscard]] std::size_t CountLosses(TimePoint first, TimePoint last) const;
  /// @returns whether a call with the part that began at `since` or later has
  ///   outlived `broken`.
  [[nodiscard]] bool HasSurvived(PromptPartId id, TimePoint since,
                                 const CallProgress& broken) const;
  /// @returns the time since this entry's trial began, if it is under way.
  [[nodiscard]] std::optional<Duration> TrialAge(
      const Quarantine& quarantine) const;
  /// Puts the part under quarantine if the evidence is sufficient.
  void Evaluate(PromptPartId id, Part& part);
  void StartQuarantine(PromptPartId id, Part& part, Quarantine quarantine);
  /// @returns whether a crash is by a call that began after another crash.
  /// @param crashed_at  of the other crash; zero if there is none.
  [[nodiscard]] static bool IsLater(const Crash& crash, TimePoint crashed_at);
  /// @returns the number of crashes that count against the part.
  [[nodiscard]] static int CountCrashes(const Part& part);
  /// @returns whether `id` was in all crashes of `part` of which all reports
  ///   should have arrived.
  [[nodiscard]] bool IsInSettledCrashes(PromptPartId id,
                                        const Part& part) const;
  [[nodiscard]] static CallProgress FurthestProgress(const Part& part);
  /// @returns the parts that were in all crashes that count against `part` and
  ///   have at least `min_crashes` of their own.
  [[nodiscard]] std::vector<PromptPartId> FindCompanions(PromptPartId id,
                                                         const Part& part,
                                                         int min_crashes) const;
  /// @returns whether `prompt` has all companions of a part.
  [[nodiscard]] static bool HasCompanions(
      const std::vector<PromptPartId>& companions,
      const std::vector<PromptPart>& prompt);
  /// @returns the quarantine of the part if it applies to `prompt`, or null.
  [[nodiscard]] const Quarantine* FindApplicable(
      PromptPartId id, const std::vector<PromptPart>& prompt) const;
  /// @returns whether this entry may try the prompt now: the quarantine of the
  ///   part has expired, or the prompt tells the part from a companion.
  [[nodiscard]] bool IsTrialDue(PromptPartId id, const Quarantine& quarantine,
                                const std::vector<PromptPart>& prompt) const;

  const Clock& m_clock;
  TrialChooser m_makes_trial;
  std::function<void()> m_on_quarantined;
  BrokenCalls::RunFinder m_find_present_run;
  BrokenCalls m_broken_calls{m_clock};
  RecentSurvivals m_recent_survivals{m_clock};
  /// Parts that were suspected lately.
  Parts m_parts;
  /// Runs of upstreams that are known to have ended, by their numbers.
  std::map<std::uint64_t, EndedRun> m_ended_runs;
  /// Crashes that this entry has seen and still reports.
  std::vector<OwnCrash> m_own_crashes;
  /// The last runs whose crash was logged.
  std::deque<std::uint64_t> m_logged_runs;
};

}  // namespace bambooquay
