// A lease in the platform's store that one entry of the fleet holds at a time.
#include "bambooquay/duties/duty_lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "bambooquay/runtime/log.h"

namespace bambooquay {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// Parts of the lease time. A call that is withdrawn at the end of a grant has
// the rest of the lease time to leave the network.
constexpr int kRenewalsPerLease = 3;
constexpr double kGrantShare = 0.75;
// A call to the store without a response in this time counts as failed, and its
// outcome as unknown. The store responds within milliseconds, or within a few
// hundred when it is slow.
constexpr Duration kStoreTimeout = milliseconds(600);
constexpr Duration kRetryDelay = milliseconds(300);
// After the start: the holder's notices arrive sooner.
constexpr Duration kFirstReadDelay = milliseconds(1000);
// The entry with the lowest rank acquires the lease first, so that the others
// need no calls to the store.
constexpr Duration kRankDelay = milliseconds(300);
constexpr std::size_t kMaxRankDelays = 10;
// Ticks further apart than this mean that the process did not run.
constexpr Duration kMaxTickGap = milliseconds(700);
// More holders than this cannot follow each other within a lease time, as each
// one acquires the lease by two calls to the store.
constexpr std::size_t kMaxEarlierHolders = 8;

}  // namespace

std::string EncodeLease(const LeaseRecord& record) {
  Json earlier = Json::array();
  for (const InstanceId& id : record.earlier_holders) {
    earlier.push_back(id.value());
  }
  return Json{
      {"holder", record.holder.value()}, {"incarnation", record.incarnation},
      {"token", record.fencing_token},   {"renewal", record.renewal},
      {"released", record.released},     {"earlier", std::move(earlier)}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<LeaseRecord> DecodeLease(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    LeaseRecord record;
    record.holder = InstanceId(json.at("holder").get<std::string>());
    record.incarnation = json.at("incarnation").get<std::uint64_t>();
    record.fencing_token = json.at("token").get<std::uint64_t>();
    record.renewal = json.at("renewal").get<std::uint64_t>();
    record.released = json.at("released").get<bool>();
    for (const Json& id : json.at("earlier")) {
      record.earlier_holders.emplace_back(id.get<std::string>());
    }
    return record;
  } catch (const Json::exception& error) {
    LogEvent(LogLevel::kError, "duty_lease_unreadable")
        .With("error", error.what());
    return std::nullopt;
  }
}

DutyLease::DutyLease(const Clock& clock, FleetTable& table, InstanceId self,
                     std::uint64_t incarnation, Duration lease_time)
    : m_clock(clock),
      m_table(table),
      m_self(std::move(self)),
      m_incarnation(incarnation),
      m_lease_time(lease_time),
      m_started_at(clock.Now()),
      m_last_tick(clock.Now()) {}

void DutyLease::Tick(std::optional<std::size_t> rank) {
  const TimePoint now = m_clock.Now();
  const bool has_frozen = now - m_last_tick > kMaxTickGap;
  m_last_tick = now;
  if (m_step != Step::kNone) {
    if (now - m_call_begun_at < kStoreTimeout) {
      return;
    }
    HandleFailure(TableFailure::kUnavailable);
  }
  if (has_frozen) {
    // Another entry may hold the lease by now.
    m_check_from = now;
    m_next_call_at = now;
  }
  if (m_held.has_value()) {
    TickHolder(now);
  } else if (rank.has_value()) {
    TickCandidate(now, *rank);
  }
}

void DutyLease::TickHolder(TimePoint now) {
  const bool has_lapsed = now > GrantEnd();
  if (has_lapsed != std::exchange(m_lapse_logged, has_lapsed)) {
    LogEvent(LogLevel::kWarning,
             has_lapsed ? "duty_lease_lapsed" : "duty_lease_confirmed")
        .With("token", m_held->record.fencing_token)
        .WithMilliseconds("renewal_age_ms", RenewalAge());
  }
  if (now >= m_next_call_at) {
    Renew();
  }
}

bool DutyLease::IsDue(TimePoint now, std::size_t rank) const {
  const Duration delay =
      kRankDelay * static_cast<int>(std::min(rank, kMaxRankDelays));
  if (!m_seen.has_value()) {
    return now - m_started_at >= kFirstReadDelay + delay;
  }
  return now - m_seen->seen_at >=
         (m_seen->released ? Duration::zero() : m_lease_time) + delay;
}

void DutyLease::TickCandidate(TimePoint now, std::size_t rank) {
  if (now >= m_next_call_at && now >= m_pause_until && IsDue(now, rank)) {
    Read(rank);
  }
}

std::uint64_t DutyLease::Begin(Step step) {
  m_step = step;
  m_call_begun_at = m_clock.Now();
  return ++m_call_number;
}

bool DutyLease::Finish(std::uint64_t number) {
  if (number != m_call_number || m_step == Step::kNone) {
    return false;
  }
  m_step = Step::kNone;
  return true;
}

void DutyLease::Read(std::size_t rank) {
  const std::uint64_t number = Begin(Step::kRead);
  m_table.List(kDutyTable, "", [this, number, rank](const TableResult& result) {
    if (!Finish(number)) {
      return;
    }
    if (const auto* page = std::get_if<TablePage>(&result)) {
      HandleRead(*page, rank);
    } else {
      HandleFailure(std::get<TableFailure>(result));
    }
  });
}

void DutyLease::HandleRead(const TablePage& page, std::size_t rank) {
  const auto row = std::ranges::find(page.rows, kLeaseKey, &TableRow::key);
  if (row == page.rows.end()) {
    Acquire(std::nullopt, 0);
    return;
  }
  const auto record = DecodeLease(row->value);
  if (!record.has_value()) {
    // Without the last token there is none that is surely higher.
    m_next_call_at = m_clock.Now() + m_lease_time;
    return;
  }
  if (IsOwn(*record)) {
    AdoptOwn(*record, row->version);
    return;
  }
  RecordSeen(record->fencing_token, row->version, record->released);
  if (IsDue(m_clock.Now(), rank)) {
    Acquire(record, row->version);
  }
}

void DutyLease::RecordSeen(std::uint64_t token, std::uint64_t version,
                           bool released) {
  if (!m_seen.has_value() || version > m_seen->version) {
    m_seen = SeenRow{token, version, released, m_clock.Now()};
  }
}

void DutyLease::Acquire(const std::optional<LeaseRecord>& before,
                        std::uint64_t version) {
  const TimePoint now = m_clock.Now();
  HeldLease lease;
  lease.version = version;
  lease.confirmed_at = now;
  lease.record.holder = m_self;
  lease.record.incarnation = m_incarnation;
  lease.record.fencing_token = 1;
  if (before.has_value()) {
    lease.record.fencing_token = before->fencing_token + 1;
    std::vector<InstanceId>& earlier = lease.record.earlier_holders;
    earlier = before->earlier_holders;
    if (before->holder != m_self) {
      std::erase(earlier, before->holder);
      earlier.insert(earlier.begin(), before->holder);
    }
    earlier.resize(std::min(earlier.size(), kMaxEarlierHolders));
  }
  lease.grants_from = GrantsFrom(lease.record);
  const std::uint64_t number = Begin(Step::kAcquire);
  TableWrite write;
  write.expected.push_back({kDutyTable, kLeaseKey, "", version, false});
  write.puts.push_back(
      {kDutyTable, kLeaseKey, EncodeLease(lease.record), 0, false});
  m_table.Write(write, [this, number, lease](const TableWriteResult& result) {
    HandleWritten(number, lease, result);
  });
}

void DutyLease::Renew() {
  HeldLease lease = *m_held;
  lease.confirmed_at = m_clock.Now();
  lease.record.released = lease.is_releasing;
  lease.record.renewal = ++m_held->record.renewal;
  const std::uint64_t number = Begin(Step::kRenew);
  TableWrite write;
  write.expected.push_back({kDutyTable, kLeaseKey, "", lease.version, false});
  write.puts.push_back(
      {kDutyTable, kLeaseKey, EncodeLease(lease.record), 0, false});
  m_table.Write(write, [this, number, lease](const TableWriteResult& result) {
    HandleWritten(number, lease, result);
  });
}

void DutyLease::HandleWritten(std::uint64_t number, const HeldLease& written,
                              const TableWriteResult& result) {
  const Step step = m_step;
  if (!Finish(number)) {
    return;
  }
  if (const auto* conflict = std::get_if<TableConflict>(&result)) {
    HandleConflict(conflict->current);
    return;
  }
  if (const auto* failure = std::get_if<TableFailure>(&result)) {
    HandleFailure(*failure);
    return;
  }
  const std::uint64_t token = written.record.fencing_token;
  if (step == Step::kRenew &&
      (!m_held.has_value() || m_held->record.fencing_token != token)) {
    return;
  }
  const bool is_releasing = m_held.has_value() && m_held->is_releasing;
  m_held = written;
  m_held->version = std::get<TablePage>(result).position.version;
  m_held->is_releasing = is_releasing;
  if (m_check_from.has_value() && written.confirmed_at >= *m_check_from) {
    m_check_from.reset();
  }
  m_released.reset();
  m_next_call_at = written.confirmed_at + m_lease_time / kRenewalsPerLease;
  RecordSeen(token, m_held->version, written.record.released);
  if (written.record.released) {
    m_released = LeaseNotice{token, m_held->version, true};
    LogEvent(LogLevel::kInfo, "duty_lease_released").With("token", token);
    m_held.reset();
  } else if (is_releasing) {
    m_next_call_at = m_clock.Now();
  } else if (step == Step::kAcquire) {
    m_lapse_logged = false;
    LogEvent(LogLevel::kInfo, "duty_lease_acquired")
        .With("token", token)
        .With("earlier_holder",
              written.record.earlier_holders.empty()
                  ? ""
                  : written.record.earlier_holders.front().value())
        .WithMilliseconds("grants_in_ms",
                          written.grants_from - written.confirmed_at);
  }
  if (m_on_news && (step == Step::kAcquire || written.record.released)) {
    m_on_news();
  }
}

void DutyLease::HandleConflict(const TablePage& current) {
  const auto row = std::ranges::find(current.rows, kLeaseKey, &TableRow::key);
  const auto record =
      row == current.rows.end() ? std::nullopt : DecodeLease(row->value);
  if (!record.has_value()) {
    HandleFailure(TableFailure::kUnavailable);
    return;
  }
  if (IsOwn(*record)) {
    AdoptOwn(*record, row->version);
    return;
  }
  RecordSeen(record->fencing_token, row->version, record->released);
  if (m_held.has_value()) {
    Lose("other_holder");
  }
}

bool DutyLease::IsOwn(const LeaseRecord& record) const {
  const bool is_own =
      record.holder == m_self && record.incarnation == m_incarnation;
  return is_own && (m_held.has_value()
                        ? record.fencing_token == m_held->record.fencing_token
                        : !record.released);
}

void DutyLease::AdoptOwn(const LeaseRecord& record, std::uint64_t version) {
  m_next_call_at = m_clock.Now();
  if (!m_held.has_value()) {
    // No grants before a renewal is confirmed.
    m_held = HeldLease{record, version, m_clock.Now() - m_lease_time,
                       GrantsFrom(record), false};
    m_check_from = m_clock.Now();
  }
  m_held->version = version;
}

TimePoint DutyLease::GrantsFrom(const LeaseRecord& record) const {
  const auto& earlier = record.earlier_holders;
  const bool others_since = std::ranges::find(earlier, m_self) != earlier.end();
  return m_clock.Now() + (others_since ? m_lease_time : Duration::zero());
}

void DutyLease::HandleFailure(TableFailure failure) {
  m_step = Step::kNone;
  m_next_call_at = m_clock.Now() + kRetryDelay;
  LogEvent(LogLevel::kDebug, "duty_lease_call_failed")
      .With("busy", failure == TableFailure::kBusy ? "yes" : "no");
}

void DutyLease::HandleNotice(const LeaseNotice& notice) {
  if (m_held.has_value() &&
      notice.fencing_token > m_held->record.fencing_token) {
    Lose("notice");
  }
  if (m_released.has_value() &&
      notice.fencing_token > m_released->fencing_token) {
    m_released.reset();
  }
  RecordSeen(notice.fencing_token, notice.row_version, notice.released);
}

std::optional<LeaseNotice> DutyLease::MakeNotice() const {
  if (!m_held.has_value()) {
    return m_released;
  }
  return LeaseNotice{m_held->record.fencing_token, m_held->version, false};
}

TimePoint DutyLease::GrantEnd() const {
  return m_held->confirmed_at +
         std::chrono::duration_cast<Duration>(m_lease_time * kGrantShare);
}

std::optional<DutyGrant> DutyLease::GrantFor(Duration call_time) const {
  const TimePoint now = m_clock.Now();
  const bool has_frozen = now - m_last_tick > kMaxTickGap;
  if (!m_held.has_value() || m_held->is_releasing || m_check_from.has_value() ||
      has_frozen || now < m_held->grants_from || now + call_time > GrantEnd()) {
    return std::nullopt;
  }
  return DutyGrant{m_self, m_held->record.fencing_token};
}

void DutyLease::Release(std::string_view reason, Duration pause) {
  m_pause_until = m_clock.Now() + pause;
  if (m_held.has_value() && !m_held->is_releasing) {
    LogEvent(LogLevel::kInfo, "duty_lease_release")
        .With("token", m_held->record.fencing_token)
        .With("reason", reason);
    m_held->is_releasing = true;
    m_next_call_at = m_clock.Now();
    if (m_step == Step::kNone) {
      Renew();
    }
  }
}

void DutyLease::Lose(std::string_view reason) {
  LogEvent(LogLevel::kWarning, "duty_lease_lost")
      .With("token", m_held->record.fencing_token)
      .With("reason", reason);
  m_held.reset();
  m_step = Step::kNone;
}

std::uint64_t DutyLease::fencing_token() const noexcept {
  const std::uint64_t held =
      m_held.has_value() ? m_held->record.fencing_token : 0;
  return std::max(held, m_seen.has_value() ? m_seen->fencing_token : 0);
}

std::optional<Duration> DutyLease::RenewalAge() const {
  return m_held.has_value()
             ? std::optional(m_clock.Now() - m_held->confirmed_at)
             : std::nullopt;
}

}  // namespace bambooquay
