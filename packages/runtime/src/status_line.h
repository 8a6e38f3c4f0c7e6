// The status line of an HTTP response.
#pragma once

#include <string>
#include <string_view>

namespace bambooquay {

/// Collects the first line of a response's head and checks it. Load it answers:
/// a server in trouble sends a head that is no response. http-parser takes any
/// number up to 999, of any number of digits, for a status, and checks neither
/// the protocol's version nor the reason phrase.
class StatusLine {
 public:
  /// Prepares for the next response.
  void Clear();
  /// Adds received bytes of the response. Those behind the first line are
  /// ignored.
  void Append(std::string_view bytes);
  /// @returns whether the line is complete and a valid one of HTTP/1.x (RFC
  ///   9112, section 4) whose status is one that a client can get: from 100 to
  ///   599, and not 101, as this client never asks for another protocol.
  [[nodiscard]] bool IsValid() const noexcept;

 private:
  /// Without the line feed at its end.
  std::string m_line;
  bool m_is_complete = false;
};

}  // namespace bambooquay
