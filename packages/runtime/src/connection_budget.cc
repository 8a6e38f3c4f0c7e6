// Decides which connections of a server give way.
#include "bambooquay/runtime/connection_budget.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bambooquay {
namespace {

// A request that holds more than this is a large one.
constexpr std::size_t kLargeBytes = std::size_t{128} * 1024;
// Large requests that are being served may hold one part in this many of the
// limit. A single one may hold more.
constexpr std::size_t kLargeDivisor = 2;
// Fewer further payload bytes than this are no progress.
constexpr std::size_t kProgressBytes = 1024;
// Added to the time without progress, so that of several connections that make
// progress the one that holds most gives way.
constexpr Duration kBaseTime = std::chrono::milliseconds(100);
// A complete response gives way only if its caller takes nothing for this long.
constexpr Duration kMinWriteStall = std::chrono::seconds(2);
// While memory is short, requests must arrive at this rate on average, which
// is checked from this age on.
constexpr double kMinBytesPerSecond = 2048.0;
constexpr Duration kRateGrace = std::chrono::seconds(5);

}  // namespace

bool ConnectionBudget::MayServe(std::size_t bytes) const noexcept {
  const bool leaves_room =
      bytes <= kLargeBytes || m_served_large == 0 ||
      m_served_large + bytes <= m_limits.max_bytes / kLargeDivisor;
  return leaves_room && m_served + bytes <= m_limits.max_bytes;
}

bool ConnectionBudget::IsTooSlow(const BudgetedConnection& connection) const {
  const Duration age = m_clock.Now() - connection.m_phase_since;
  return connection.m_phase == ConnectionPhase::kReading && IsShort() &&
         age >= kRateGrace &&
         static_cast<double>(connection.m_payload) <
             kMinBytesPerSecond * ToSeconds(age);
}

void ConnectionBudget::Enforce() {
  while (m_held > m_limits.max_bytes) {
    BudgetedConnection* chosen = ChooseUnused(YieldReason::kMemory);
    if (chosen == nullptr) {
      return;
    }
    chosen->GiveWay(YieldReason::kMemory);
  }
}

bool ConnectionBudget::FreeDescriptor() {
  BudgetedConnection* chosen = ChooseUnused(YieldReason::kDescriptors);
  if (chosen != nullptr) {
    chosen->GiveWay(YieldReason::kDescriptors);
  }
  return chosen != nullptr;
}

double ConnectionBudget::Cost(const BudgetedConnection& connection,
                              YieldReason reason) const {
  const Duration stalled_for = m_clock.Now() - connection.m_progress_at;
  const bool keeps = connection.m_phase == ConnectionPhase::kServed ||
                     (connection.m_phase == ConnectionPhase::kWriting &&
                      stalled_for < kMinWriteStall);
  if (keeps) {
    return 0.0;
  }
  if (connection.m_phase == ConnectionPhase::kRefused) {
    // Holds hardly any memory, and Enforce() must not choose it again.
    return reason == YieldReason::kDescriptors
               ? std::numeric_limits<float>::max()
               : 0.0;
  }
  const double amount = reason == YieldReason::kMemory
                            ? static_cast<double>(connection.m_held)
                            : 1.0;
  return amount * ToSeconds(stalled_for + kBaseTime);
}

BudgetedConnection* ConnectionBudget::ChooseUnused(YieldReason reason) {
  BudgetedConnection* chosen = ChooseToYield(reason);
  while (chosen != nullptr && chosen->m_phase == ConnectionPhase::kIdle &&
         chosen->HasArrivedInput()) {
    chosen->SetPhase(ConnectionPhase::kReading);
    chosen = ChooseToYield(reason);
  }
  return chosen;
}

BudgetedConnection* ConnectionBudget::ChooseToYield(YieldReason reason) {
  std::ranges::for_each(m_groups, [](auto& item) { item.second.cost = 0.0; });
  std::ranges::for_each(
      m_connections, [&](const BudgetedConnection* connection) {
        connection->m_group->second.cost += Cost(*connection, reason);
      });
  const auto chosen = std::ranges::max_element(
      m_connections, {}, [&](const BudgetedConnection* connection) {
        const double cost = Cost(*connection, reason);
        // A group of which no connection can give way is out of the question.
        return std::pair(cost > 0.0 ? connection->m_group->second.cost : 0.0,
                         cost);
      });
  return chosen == m_connections.end() || Cost(**chosen, reason) <= 0.0
             ? nullptr
             : *chosen;
}

BudgetedConnection::BudgetedConnection(ConnectionBudget& budget,
                                       std::string address)
    : m_budget(budget),
      m_position(budget.m_connections.insert(budget.m_connections.end(), this)),
      m_group(budget.m_groups.try_emplace(std::move(address)).first),
      m_phase_since(budget.m_clock.Now()),
      m_progress_at(m_phase_since) {
  ++m_group->second.connection_count;
}

BudgetedConnection::~BudgetedConnection() {
  Uncount();
  LeaveGroup();
  m_budget.m_connections.erase(m_position);
}

void BudgetedConnection::LeaveGroup() {
  if (--m_group->second.connection_count == 0) {
    m_budget.m_groups.erase(m_group);
  }
}

void BudgetedConnection::SetGroup(const std::string& name) {
  const auto group = m_budget.m_groups.try_emplace(name).first;
  ++group->second.connection_count;
  LeaveGroup();
  m_group = group;
}

void BudgetedConnection::Uncount() noexcept {
  m_budget.m_held -= m_held;
  if (m_phase == ConnectionPhase::kServed) {
    m_budget.m_served -= m_held;
    m_budget.m_served_large -= m_held > kLargeBytes ? m_held : 0;
  }
}

void BudgetedConnection::Count() noexcept {
  m_budget.m_held += m_held;
  if (m_phase == ConnectionPhase::kServed) {
    m_budget.m_served += m_held;
    m_budget.m_served_large += m_held > kLargeBytes ? m_held : 0;
  }
}

void BudgetedConnection::SetPhase(ConnectionPhase phase) {
  Uncount();
  m_phase = phase;
  m_phase_since = m_budget.m_clock.Now();
  m_progress_at = m_phase_since;
  m_payload = 0;
  m_payload_at_progress = 0;
  Count();
}

void BudgetedConnection::SetHeld(std::size_t bytes) noexcept {
  Uncount();
  m_held = bytes;
  Count();
}

void BudgetedConnection::SetProgress(std::size_t bytes) noexcept {
  m_payload = bytes;
  if (bytes >= m_payload_at_progress + kProgressBytes) {
    m_payload_at_progress = bytes;
    m_progress_at = m_budget.m_clock.Now();
  }
}

}  // namespace bambooquay
