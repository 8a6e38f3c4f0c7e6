// A lease in the platform's store that one entry of the fleet holds at a time.
// Its holder performs the duties.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/ids.h"
#include "bambooquay/duties/duty_client.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/serving/fleet_table.h"

namespace bambooquay {

/// Table with the rows of the duties, and the key of the lease in it.
inline constexpr const char* kDutyTable = "duties";
inline constexpr const char* kLeaseKey = "lease";

/// The row of the lease. It is never deleted, so that tokens never repeat.
struct LeaseRecord {
  InstanceId holder;
  /// Identifies the run of the holder's process.
  std::uint64_t incarnation = 0;
  std::uint64_t fencing_token = 0;
  /// Counts renewals, so that no two writes are the same.
  std::uint64_t renewal = 0;
  /// The holder has given the lease up and makes no further calls.
  bool released = false;
  /// Holders before this one, the latest first, without repeats.
  std::vector<InstanceId> earlier_holders;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

[[nodiscard]] std::string EncodeLease(const LeaseRecord& record);
/// @returns nothing if `text` is no lease.
[[nodiscard]] std::optional<LeaseRecord> DecodeLease(std::string_view text);

/// Acquires, renews and gives up the lease of one entry.
///
/// Invariants:
/// - Each acquisition has a higher fencing token than all before it.
/// - A grant ends before any other entry can acquire the lease: the holder
///   counts from when it sent its last confirmed write, the others from when
///   they learnt of it.
/// - After a holder A and a holder B, A gets no grant within a lease time of
///   its last one.
class DutyLease {
 public:
  /// @param clock  counts the time for which the machine was suspended.
  /// @param incarnation  identifies the run of this process.
  DutyLease(const Clock& clock, FleetTable& table, InstanceId self,
            std::uint64_t incarnation, Duration lease_time);

  /// To be called every `kTickPeriod`: renews the lease, or acquires it if its
  /// holder has not renewed it.
  /// @param rank  number of entries that should acquire it before this one;
  ///   nothing if this entry must not acquire it.
  void Tick(std::optional<std::size_t> rank);
  void HandleNotice(const LeaseNotice& notice);
  /// @returns what the other entries should know, if this entry holds the lease
  ///   or has released it.
  [[nodiscard]] std::optional<LeaseNotice> MakeNotice() const;
  /// Sets the handler that runs when the notice has news that the others wait
  /// for.
  void OnNews(std::function<void()> handler) { m_on_news = std::move(handler); }

  /// @param call_time  time after which the call has ended or is withdrawn.
  /// @returns the grant if a duty's call may be sent now.
  [[nodiscard]] std::optional<DutyGrant> GrantFor(Duration call_time) const;
  /// Gives the lease up; another entry may acquire it at once. No call of a
  /// duty may be in progress. This entry does not acquire it for `pause`.
  void Release(std::string_view reason, Duration pause);

  /// @returns whether this entry holds the lease, as far as it knows.
  [[nodiscard]] bool is_holder() const noexcept { return m_held.has_value(); }
  /// @returns the highest fencing token that this entry knows of; 0 if none.
  [[nodiscard]] std::uint64_t fencing_token() const noexcept;
  /// @returns the time since the last confirmed write was sent, if this entry
  ///   holds the lease.
  [[nodiscard]] std::optional<Duration> RenewalAge() const;

  static constexpr Duration kTickPeriod = std::chrono::milliseconds(100);

 private:
  /// What this entry knows of the row while it does not hold the lease.
  struct SeenRow {
    std::uint64_t fencing_token = 0;
    std::uint64_t version = 0;
    bool released = false;
    TimePoint seen_at{};  ///< When this version was first seen.
  };
  /// The lease that this entry holds.
  struct HeldLease {
    LeaseRecord record;
    std::uint64_t version = 0;  ///< Version of the row, as far as known.
    TimePoint confirmed_at{};   ///< When the last confirmed write was sent.
    TimePoint grants_from{};    ///< No grants before this time.
    bool is_releasing = false;
  };
  enum class Step : std::uint8_t { kNone, kRead, kAcquire, kRenew };

  void TickHolder(TimePoint now);
  void TickCandidate(TimePoint now, std::size_t rank);
  /// @returns whether the lease is free for an entry of this rank.
  [[nodiscard]] bool IsDue(TimePoint now, std::size_t rank) const;
  void Read(std::size_t rank);
  void HandleRead(const TablePage& page, std::size_t rank);
  void Acquire(const std::optional<LeaseRecord>& before, std::uint64_t version);
  void Renew();
  /// Starts a call to the store. `Finish` of an earlier one is ignored.
  /// @returns the number of the call.
  std::uint64_t Begin(Step step);
  /// @returns whether the call is the one in progress, which has then ended.
  bool Finish(std::uint64_t number);
  void HandleWritten(std::uint64_t number, const HeldLease& written,
                     const TableWriteResult& result);
  void HandleConflict(const TablePage& current);
  /// @returns whether the row is the lease of this run of the process.
  [[nodiscard]] bool IsOwn(const LeaseRecord& record) const;
  /// Goes on from a write whose response was lost.
  void AdoptOwn(const LeaseRecord& record, std::uint64_t version);
  /// @returns when the grants of a new holder begin. If it held the lease some
  ///   time before another one, it waits for a lease time.
  [[nodiscard]] TimePoint GrantsFrom(const LeaseRecord& record) const;
  void HandleFailure(TableFailure failure);
  void RecordSeen(std::uint64_t token, std::uint64_t version, bool released);
  void Lose(std::string_view reason);
  [[nodiscard]] TimePoint GrantEnd() const;

  const Clock& m_clock;
  FleetTable& m_table;
  InstanceId m_self;
  std::uint64_t m_incarnation;
  Duration m_lease_time;
  TimePoint m_started_at;
  TimePoint m_last_tick;
  std::optional<HeldLease> m_held;
  std::optional<SeenRow> m_seen;
  /// The notice of a lease that this entry has released.
  std::optional<LeaseNotice> m_released;
  /// When a freeze was noticed. No grants until a write that was sent later is
  /// confirmed.
  std::optional<TimePoint> m_check_from;
  bool m_lapse_logged = false;
  Step m_step = Step::kNone;
  std::uint64_t m_call_number = 0;
  TimePoint m_call_begun_at{};
  TimePoint m_next_call_at{};
  /// No acquisition before this time.
  TimePoint m_pause_until{};
  std::function<void()> m_on_news;
};

}  // namespace bambooquay
