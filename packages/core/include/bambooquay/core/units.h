// Strong types for quantities.
#pragma once

#include <compare>
#include <cstdint>

namespace bambooquay {

/// A number of model tokens; fractional because token buckets refill
/// continuously.
struct Tokens {
  double count = 0.0;

  friend auto operator<=>(const Tokens&, const Tokens&) = default;
  Tokens& operator+=(Tokens other) noexcept {
    count += other.count;
    return *this;
  }
  Tokens& operator-=(Tokens other) noexcept {
    count -= other.count;
    return *this;
  }
  friend Tokens operator+(Tokens a, Tokens b) noexcept {
    return Tokens{a.count + b.count};
  }
  friend Tokens operator-(Tokens a, Tokens b) noexcept {
    return Tokens{a.count - b.count};
  }
};

/// A rate of tokens per second.
struct TokensPerSecond {
  double value = 0.0;
  friend auto operator<=>(const TokensPerSecond&,
                          const TokensPerSecond&) = default;
};

/// A rate of calls per second.
struct CallsPerSecond {
  double value = 0.0;
  friend auto operator<=>(const CallsPerSecond&,
                          const CallsPerSecond&) = default;
};

/// An amount of accelerator memory in MiB.
struct MebiBytes {
  std::int64_t count = 0;

  friend auto operator<=>(const MebiBytes&, const MebiBytes&) = default;
  MebiBytes& operator+=(MebiBytes other) noexcept {
    count += other.count;
    return *this;
  }
  MebiBytes& operator-=(MebiBytes other) noexcept {
    count -= other.count;
    return *this;
  }
  friend MebiBytes operator+(MebiBytes a, MebiBytes b) noexcept {
    return MebiBytes{a.count + b.count};
  }
  friend MebiBytes operator-(MebiBytes a, MebiBytes b) noexcept {
    return MebiBytes{a.count - b.count};
  }
};

}  // namespace bambooquay
