// Splits a stream of server-sent events into whole events.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace bambooquay {

/// @returns whether an event with `id` may come after one with `last_id`. Ids
///   that are decimal numbers increase, and others differ.
[[nodiscard]] bool MayFollow(std::string_view last_id,
                             std::string_view id) noexcept;

/// Holds back the bytes of an incomplete event, so that a stream that breaks
/// can be resumed with the next complete event. Events that repeat earlier ones
/// are not returned.
///
/// Invariant: the ids of all events returned are in order (MayFollow()), also
/// those of several runs that follow each other.
///
/// @code
/// EventStreamSplitter events;
/// events.Append("id: 1\ndata: a\n\nid: 2\nda");  // returns the first event
/// events.last_id();                              // "1"
/// @endcode
class EventStreamSplitter {
 public:
  /// Sets the id of the last event that the reader of the stream has.
  void StartAfter(std::string id) { m_last_id = std::move(id); }
  /// Appends bytes of the stream.
  /// @returns the bytes of all events that they complete, up to the first one
  ///   that is out of order.
  [[nodiscard]] std::string Append(std::string_view bytes);
  /// @returns the id of an event that is out of order; empty if there was none
  ///   since TakeRemainder().
  [[nodiscard]] const std::string& out_of_order_id() const noexcept {
    return m_out_of_order_id;
  }
  /// Clears the buffer.
  /// @returns the bytes of the incomplete event in it.
  [[nodiscard]] std::string TakeRemainder();
  /// @returns the size of the incomplete event, in bytes.
  [[nodiscard]] std::size_t pending_bytes() const noexcept {
    return m_pending.size();
  }
  /// @returns the id of the last event returned that has one, or else that of
  ///   StartAfter().
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
  std::string m_out_of_order_id;
};

}  // namespace bambooquay
