// Random numbers as an injected interface; ids come from libsodium.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace bambooquay {

/// A source of uniformly distributed numbers.
class RandomSource {
 public:
  RandomSource() = default;
  RandomSource(const RandomSource&) = delete;
  RandomSource& operator=(const RandomSource&) = delete;
  virtual ~RandomSource() = default;

  /// @returns a number in [0, bound); `bound` must be positive.
  [[nodiscard]] virtual std::uint32_t Below(std::uint32_t bound) = 0;
};

/// Cryptographically secure numbers from libsodium.
class SystemRandom final : public RandomSource {
 public:
  SystemRandom();
  [[nodiscard]] std::uint32_t Below(std::uint32_t bound) override;
};

/// Reproducible numbers for tests and benches.
class SeededRandom final : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : m_engine(seed) {}
  [[nodiscard]] std::uint32_t Below(std::uint32_t bound) override {
    return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(m_engine);
  }

 private:
  std::mt19937_64 m_engine;
};

/// @returns a fresh 128-bit identifier as 32 hexadecimal digits.
[[nodiscard]] std::string MakeRandomId();

/// @returns a fresh number that tells one life of a process from others.
[[nodiscard]] std::uint64_t MakeRandomNumber();

/// @returns the SHA-256 digest of `text` as 64 hexadecimal digits.
[[nodiscard]] std::string Sha256Hex(std::string_view text);

}  // namespace bambooquay
