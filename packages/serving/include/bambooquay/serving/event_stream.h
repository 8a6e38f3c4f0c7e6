// Splits a stream of server-sent events into whole events.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace bambooquay {

/// Holds back the bytes of an incomplete event, so that a stream that breaks
/// can be resumed with the next complete event.
///
/// @code
/// EventStreamSplitter events;
/// events.Append("id: 1\ndata: a\n\nid: 2\nda");  // returns the first event
/// events.last_id();                              // "1"
/// @endcode
class EventStreamSplitter {
 public:
  /// Appends bytes of the stream.
  /// @returns the bytes of all events that they complete.
  [[nodiscard]] std::string Append(std::string_view bytes);
  /// Clears the buffer.
  /// @returns the bytes of the incomplete event in it.
  [[nodiscard]] std::string TakeRemainder();
  /// @returns the size of the incomplete event, in bytes.
  [[nodiscard]] std::size_t pending_bytes() const noexcept {
    return m_pending.size();
  }
  /// @returns the id of the last complete event that has one.
  [[nodiscard]] const std::string& last_id() const noexcept {
    return m_last_id;
  }

 private:
  void ParseLine(std::string_view line);

  std::string m_pending;
  /// Number of bytes of m_pending that have been searched for line ends.
  std::size_t m_scanned = 0;
  std::size_t m_line_start = 0;
  /// Id of the incomplete event.
  std::string m_event_id;
  std::string m_last_id;
};

}  // namespace bambooquay
