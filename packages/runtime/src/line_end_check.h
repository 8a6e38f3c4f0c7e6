// The line ends in the framing of HTTP responses.
#pragma once

#include <string_view>

namespace bambooquay {

/// Checks what http-parser skips unseen: the line feed at the end of the head,
/// of a chunk's size and of the trailers, and the line end behind a chunk's
/// data. Load it answers: a server in trouble sends a chunk that is longer than
/// its size says, of which a part would be taken for a line end.
class LineEndCheck {
 public:
  /// Prepares for the next response.
  void Clear() noexcept { *this = {}; }
  /// Adds received bytes that are no part of a body.
  void OnFraming(std::string_view bytes) noexcept;
  /// Notes that bytes of a body come next. Framing behind them belongs to
  /// chunks.
  void OnBody() noexcept { m_is_behind_data = true; }
  /// @returns whether each carriage return was followed by a line feed, and the
  ///   data of each chunk by a line end.
  [[nodiscard]] bool IsValid() const noexcept { return m_is_valid; }

 private:
  bool m_is_valid = true;
  /// Whether the last byte was a carriage return.
  bool m_is_behind_return = false;
  /// Whether the last byte was one of a body.
  bool m_is_behind_data = false;
};

}  // namespace bambooquay
