// Random number interface, passed as a parameter so that tests can reproduce a
// sequence; random ids and digests.
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
  [[nodiscard]] virtual std::uint32_t UniformBelow(std::uint32_t bound) = 0;
};

/// Cryptographically secure numbers from libsodium.
class SystemRandom final : public RandomSource {
 public:
  SystemRandom();
  [[nodiscard]] std::uint32_t UniformBelow(std::uint32_t bound) override;
};

/// Reproducible numbers for tests and benchmarks.
class SeededRandom final : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : m_engine(seed) {}
  [[nodiscard]] std::uint32_t UniformBelow(std::uint32_t bound) override {
    return std::uniform_int_distribution<std::uint32_t>(0, bound - 1)(m_engine);
  }

 private:
  std::mt19937_64 m_engine;
};

/// @returns a new random 128-bit identifier as 32 hexadecimal digits.
[[nodiscard]] std::string MakeRandomId();

/// @returns a random 64-bit number that identifies one run of a process.
[[nodiscard]] std::uint64_t MakeRandomNumber();

/// @returns the SHA-256 digest of `text` as 64 hexadecimal digits.
[[nodiscard]] std::string Sha256Hex(std::string_view text);

}  // namespace bambooquay
