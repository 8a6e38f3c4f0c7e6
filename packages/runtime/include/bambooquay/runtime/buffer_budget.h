// Limits the memory that a process uses for bytes of its peers in transit.
#pragma once

#include <algorithm>
#include <cstddef>

namespace bambooquay {

/// Divides a number of bytes among buffers. What one buffer may hold is a share
/// of what is still free, so a few buffers can become large, and many large
/// ones make the limit of each smaller. Load it answers: faulty peers fill the
/// buffers of all calls to them at once.
///
/// Invariant: buffers that keep to MaxHolding() hold less than the limit
/// together, and kMinHolding for each of them.
///
/// @code
/// BufferBudget budget(std::size_t{48} << 20);
/// BufferHolding holding(budget);
/// holding.Set(body.size());
/// if (body.size() > budget.MaxHolding()) {
///   // End the call, or stop reading.
/// }
/// @endcode
class BufferBudget {
 public:
  /// Every buffer may hold this many bytes, so that those of healthy peers
  /// still work if others use up the limit.
  static constexpr std::size_t kMinHolding = 4096;

  /// @param limit  for all buffers together, in bytes.
  explicit BufferBudget(std::size_t limit) noexcept : m_limit(limit) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  /// @returns the number of bytes that each buffer may hold now.
  [[nodiscard]] std::size_t MaxHolding() const noexcept {
    const std::size_t free = m_limit - std::min(m_held, m_limit);
    return std::max(free / kShareDivisor, kMinHolding);
  }
  /// @returns the number of bytes that all buffers hold.
  [[nodiscard]] std::size_t held() const noexcept { return m_held; }

 private:
  friend class BufferHolding;

  static constexpr std::size_t kShareDivisor = 8;

  std::size_t m_limit;
  std::size_t m_held = 0;
};

/// The bytes that one buffer holds. Must not outlive its budget.
class BufferHolding {
 public:
  explicit BufferHolding(BufferBudget& budget) noexcept : m_budget(budget) {}
  BufferHolding(const BufferHolding&) = delete;
  BufferHolding& operator=(const BufferHolding&) = delete;
  ~BufferHolding() { Set(0); }

  /// @param bytes  that the buffer holds now.
  void Set(std::size_t bytes) noexcept {
    m_budget.m_held = m_budget.m_held - m_bytes + bytes;
    m_bytes = bytes;
  }

 private:
  BufferBudget& m_budget;
  std::size_t m_bytes = 0;
};

}  // namespace bambooquay
