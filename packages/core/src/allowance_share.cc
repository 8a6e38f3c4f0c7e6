// One entry's share of an organisation's allowance.
#include "bambooquay/core/allowance_share.h"

#include <algorithm>

namespace bambooquay {

AllowanceShare::AllowanceShare(const Clock& clock, TokensPerSecond rate,
                               Tokens burst) noexcept
    : m_clock(clock),
      m_rate(rate),
      m_burst(burst),
      m_refilled_at(clock.Now()) {}

void AllowanceShare::SetAllowance(TokensPerSecond rate, Tokens burst) noexcept {
  Refill();
  m_rate = rate;
  m_burst = burst;
  m_level = std::min(m_level, Capacity());
  LimitRefunds();
}

void AllowanceShare::SetFraction(double fraction) noexcept {
  Refill();
  m_fraction = std::clamp(fraction, 0.0, 1.0);
  m_level = std::min(m_level, Capacity());
  LimitRefunds();
}

std::optional<ReservationId> AllowanceShare::TrySpend(Tokens amount) {
  Refill();
  if (amount > m_level) {
    return std::nullopt;
  }
  m_level -= amount;
  const ReservationId id{m_next_reservation++};
  const Tokens free_capacity = Capacity() - m_level;
  m_reservations.emplace(id,
                         Reservation{amount, std::min(amount, free_capacity)});
  return id;
}

void AllowanceShare::Settle(ReservationId reservation, Tokens used) noexcept {
  Refill();
  const auto found = m_reservations.find(reservation);
  if (found == m_reservations.end()) {
    return;
  }
  const Tokens unused =
      std::max(found->second.amount - std::max(used, Tokens{}), Tokens{});
  m_level += std::min(unused, found->second.refundable);
  m_reservations.erase(found);
  LimitRefunds();
}

SharePart AllowanceShare::Remove(const SharePart& part) noexcept {
  Refill();
  SharePart removed;
  removed.level = std::min(part.level, m_level);
  const double needed_fraction =
      m_burst.count > 0.0 ? removed.level.count / m_burst.count : 0.0;
  removed.fraction =
      std::min(std::max(part.fraction, needed_fraction), m_fraction);
  // The remaining tokens must fit into the remaining capacity.
  const Tokens remaining_capacity{(m_fraction - removed.fraction) *
                                  m_burst.count};
  removed.level = std::max(removed.level, m_level - remaining_capacity);
  m_fraction -= removed.fraction;
  m_level -= removed.level;
  LimitRefunds();
  return removed;
}

void AllowanceShare::Add(const SharePart& part) noexcept {
  Refill();
  m_fraction = std::min(m_fraction + part.fraction, 1.0);
  m_level = std::min(m_level + part.level, Capacity());
  LimitRefunds();
}

Tokens AllowanceShare::Level() noexcept {
  Refill();
  return m_level;
}

Tokens AllowanceShare::Capacity() const noexcept {
  return {m_fraction * m_burst.count};
}

void AllowanceShare::Refill() noexcept {
  const TimePoint now = m_clock.Now();
  const double elapsed = ToSeconds(now - m_refilled_at);
  m_refilled_at = now;
  m_level = std::min(m_level + Tokens{elapsed * m_rate.value * m_fraction},
                     Capacity());
  LimitRefunds();
}

void AllowanceShare::LimitRefunds() noexcept {
  const Tokens free_capacity = std::max(Capacity() - m_level, Tokens{});
  for (auto& [id, reservation] : m_reservations) {
    reservation.refundable = std::min(reservation.refundable, free_capacity);
  }
}

}  // namespace bambooquay
