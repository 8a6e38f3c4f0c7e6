// Splits a stream of server-sent events into whole events.
#pragma once

#include <string>
#include <string_view>

namespace bambooquay {

/// Keeps back the bytes of an event that has not arrived in full, so that a
/// stream that breaks can go on with the next whole event.
///
/// @code
/// EventStreamSplitter events;
/// events.Add("id: 1\ndata: a\n\nid: 2\nda");  // returns the first event
/// events.last_id();                           // "1"
/// @endcode
class EventStreamSplitter {
 public:
  /// @returns the bytes of all events that are complete now.
  [[nodiscard]] std::string Add(std::string_view bytes);
  /// @returns the bytes of an incomplete event, and forgets them.
  [[nodiscard]] std::string TakeRest();
  /// @returns the id of the last complete event that had one.
  [[nodiscard]] const std::string& last_id() const noexcept {
    return m_last_id;
  }

 private:
  void ReadLine(std::string_view line);

  std::string m_pending;
  /// Bytes of m_pending that were searched for line ends.
  std::size_t m_scanned = 0;
  std::size_t m_line_start = 0;
  std::string m_event_id;
  std::string m_last_id;
};

}  // namespace bambooquay
