// One entry's share of an organisation's allowance: a token bucket whose rate
// and burst are a fraction of the organisation's.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "bambooquay/core/clock.h"
#include "bambooquay/core/units.h"

namespace bambooquay {

/// Identifies tokens that were spent for a request and may be refunded in part.
enum class ReservationId : std::uint64_t {};

/// Part of a share that moves from one holder to another.
struct SharePart {
  double fraction = 0.0;
  Tokens level;
};

/// A token bucket. The fractions of all holders, including those in transfer,
/// sum to at most 1. The levels therefore sum to at most the burst and grow in
/// total by at most the rate, so that no window of length t admits more than
/// burst + rate * t.
///
/// @code
/// AllowanceShare share(clock, {.value = 100}, {.count = 500});
/// share.Add({.fraction = 1.0, .level = {500}});
/// share.TrySpend({200});  // Returns a reservation.
/// @endcode
class AllowanceShare {
 public:
  AllowanceShare(const Clock& clock, TokensPerSecond rate,
                 Tokens burst) noexcept;

  /// Changes the organisation's rate and burst; the fraction stays the same.
  void SetAllowance(TokensPerSecond rate, Tokens burst) noexcept;
  /// Sets the fraction of the allowance. The level is reduced to the new
  /// capacity if it exceeds it.
  void SetFraction(double fraction) noexcept;

  /// Spends `amount` if the bucket holds that many tokens.
  /// @returns a reservation to be settled, or nothing.
  [[nodiscard]] std::optional<ReservationId> TrySpend(Tokens amount);
  /// Refunds the part of a reservation that was not used. The refund is limited
  /// to what the bucket would now hold had those tokens never been spent, so
  /// that it never lets a window exceed the allowance.
  void Settle(ReservationId reservation, Tokens used) noexcept;

  /// Removes `part`, as far as the share holds it. More of the fraction is
  /// removed if the tokens removed need it as capacity, and more tokens are
  /// removed if the rest would exceed the remaining capacity.
  /// @returns what was removed.
  SharePart Remove(const SharePart& part) noexcept;
  /// Adds a part that another holder has removed from its share.
  void Add(const SharePart& part) noexcept;

  [[nodiscard]] double fraction() const noexcept { return m_fraction; }
  /// @returns the tokens that the bucket holds now.
  [[nodiscard]] Tokens Level() noexcept;
  /// @returns the rate of the whole allowance.
  [[nodiscard]] TokensPerSecond rate() const noexcept { return m_rate; }
  /// @returns the burst of the whole allowance.
  [[nodiscard]] Tokens burst() const noexcept { return m_burst; }

 private:
  struct Reservation {
    Tokens amount;
    /// Tokens that can still be refunded: the smallest free capacity that the
    /// bucket has had since the tokens were spent.
    Tokens refundable;
  };

  [[nodiscard]] Tokens Capacity() const noexcept;
  void Refill() noexcept;
  /// Limits every open reservation's refund to the free capacity.
  void LimitRefunds() noexcept;

  const Clock& m_clock;
  TokensPerSecond m_rate;
  Tokens m_burst;
  double m_fraction = 0.0;
  /// Never above Capacity().
  Tokens m_level;
  TimePoint m_refilled_at;
  std::uint64_t m_next_reservation = 0;
  std::map<ReservationId, Reservation> m_reservations;
};

}  // namespace bambooquay
