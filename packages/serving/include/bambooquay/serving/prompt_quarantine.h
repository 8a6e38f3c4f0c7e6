// Keeps prompts with a part that crashes engines away from the engines.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/serving/call_codec.h"

namespace bambooquay {

/// Whether a call may be sent to an upstream, by the parts of its prompt.
enum class PromptVerdict : std::uint8_t {
  kAllowed,
  /// Allowed once, to find out whether the prompt still crashes engines.
  kTrial,
  kQuarantined,
};

/// Finds the part of prompts under which engines crash. A call that has begun
/// to respond and has sent no event when its connection breaks is suspected of
/// the break, and with it each part of its prompt but the last one, which no
/// other prompt has. A call that begins later and sends an event clears all its
/// parts. What is left after three crashes is the part that no call survives.
/// If several parts are left, prompts with all of them are kept away, and a
/// prompt with only some of them is a trial that tells them apart.
///
/// Load it answers: a few requests a second with one such part, each of which
/// takes an engine and all calls on it away for seconds.
///
/// Crashes count only if they cannot have one cause besides the part: each on
/// another run of an upstream, by a call that began after the crash before. So
/// neither one broken upstream nor the loss of many at once makes a quarantine.
///
/// Entries exchange what they have seen in their statuses, so that all of them
/// decide alike. A quarantine ends when a call with the part survives: a trial,
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
  /// Decides whether this entry makes the trial of a part whose quarantine has
  /// expired. `turn` grows with time, so that the entry changes.
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
  /// @returns whether `prompt` is under quarantine, also if a trial is due.
  [[nodiscard]] bool IsQuarantined(const std::vector<PromptPart>& prompt) const;
  /// @returns whether a call whose attempt has failed may be sent again. A call
  ///   that is suspected of two crashes may not.
  [[nodiscard]] bool MayRepeat(const std::vector<PromptPart>& prompt) const;
  /// @returns the time until the quarantine of `prompt` expires; zero or less
  /// if
  ///   it has expired, or the prompt only waits for the outcome of a trial.
  [[nodiscard]] Duration TimeLeft(const std::vector<PromptPart>& prompt) const;

  /// Records that the connection of a call broke before its first event.
  /// @param upstream_run  identifies the upstream and its start.
  /// @param begun_at  when the upstream began to respond.
  void RecordCrash(const std::vector<PromptPart>& prompt,
                   std::uint64_t upstream_run, TimePoint begun_at);
  /// Records that a call has sent its first event.
  void RecordSurvival(const std::vector<PromptPart>& prompt,
                      TimePoint begun_at);

  /// Forgets parts that were not suspected for a while.
  void RemoveExpired();
  /// @returns what the other entries need to know.
  [[nodiscard]] PromptPartReports MakeReports() const;
  /// Takes over what another entry has reported.
  void Merge(const PromptPartReports& reports);

  /// @returns the number of parts that are under quarantine.
  [[nodiscard]] std::size_t quarantined_count() const;

 private:
  struct Crash {
    std::vector<PromptPartId> parts;  ///< Shared parts of the prompt.
    std::uint64_t upstream_run = 0;
    TimePoint begun_at{};
    TimePoint crashed_at{};
  };
  struct Quarantine {
    TimePoint last_crash_at{};
    TimePoint until{};
    /// Quarantines of the part without a survival in between.
    int round = 1;
    /// Parts that may be the cause instead: each was in all prompts that count
    /// against this part, and has not been cleared.
    std::vector<PromptPartId> companions;
    std::optional<TimePoint> trial_started_at;
  };
  struct Part {
    /// By time; none is older than the last survival.
    std::vector<Crash> crashes;
    std::optional<Quarantine> quarantine;
    /// Beginning of the newest call that survived.
    std::optional<TimePoint> survived_at;
    /// When other entries last needed to know of the survival.
    std::optional<TimePoint> survival_reported_at;
    TimePoint updated_at{};
  };
  using Parts = std::map<PromptPartId, Part>;

  [[nodiscard]] const Part* Find(PromptPartId id) const;
  /// @returns the part, which is added if it is new.
  Part& FindOrAdd(PromptPartId id);
  void AddCrash(const Crash& crash);
  /// Clears the part of all crashes until a surviving call began.
  void Clear(PromptPartId id, Part& part, TimePoint begun_at);
  /// Puts the part under quarantine if the evidence is sufficient.
  void Evaluate(PromptPartId id, Part& part);
  void StartQuarantine(PromptPartId id, Part& part, Quarantine quarantine);
  /// @returns the number of crashes that count against the part.
  [[nodiscard]] static int CountCrashes(const Part& part);
  /// @returns the parts that were in all prompts that count against `part` and
  ///   are as suspect as it is.
  [[nodiscard]] std::vector<PromptPartId> FindCompanions(
      PromptPartId id, const Part& part) const;
  /// @returns whether `prompt` has all companions of a part.
  [[nodiscard]] static bool HasCompanions(
      const Quarantine& quarantine, const std::vector<PromptPart>& prompt);
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
  /// Parts that were suspected lately.
  Parts m_parts;
  /// Crashes that this entry has seen and still reports.
  std::vector<Crash> m_own_crashes;
};

}  // namespace bambooquay
