// Structured logging through log4cxx: one line of key=value pairs per event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

#include "bambooquay/core/clock.h"

namespace bambooquay {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError, kOff };

/// Minimum level and rate limit of the log.
struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  /// Maximum lines per second for each event name; 0 means no limit. Lines
  /// beyond the limit are suppressed. The next line of the event that is within
  /// the limit is preceded by a `log_lines_left_out` line with their number.
  double lines_per_second = 200.0;
};

/// Configures logging to standard output. Writing never blocks: if the reader
/// of the output stalls, lines are buffered up to a limit, and further lines
/// are dropped and counted. May be called again to change the settings;
/// buffered lines and counters are kept.
/// @param process  name of the process, written as `process=` on each line.
void ConfigureLogging(std::string_view process, const LogSettings& settings);

/// Numbers of log lines that were not written, counted since the start of the
/// process.
struct DroppedLogLines {
  std::uint64_t rate_limited = 0;  ///< Exceeded the rate limit of their event.
  std::uint64_t buffer_full = 0;   ///< The reader of the output had stalled.
};
[[nodiscard]] DroppedLogLines GetDroppedLogLines() noexcept;

/// Builds one log line, which is written when the object is destroyed.
///
/// @code
/// LogEvent(LogLevel::kInfo, "drain_started").With("streams", 3);
/// // ts=... level=INFO process=entry-1 event=drain_started streams=3
/// @endcode
class LogEvent {
 public:
  LogEvent(LogLevel level, std::string_view event);
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;
  ~LogEvent();

  /// Adds a key=value pair. A value that is empty or contains blanks, control
  /// characters, quotes, backslashes or '=' is quoted.
  LogEvent& With(std::string_view key, std::string_view value);
  template <typename Number>
  requires std::is_arithmetic_v<Number> LogEvent& With(std::string_view key,
                                                       Number value) {
    if constexpr (std::is_floating_point_v<Number>) {
      return WithDecimal(key, value);
    } else {
      return With(key, std::string_view(std::to_string(value)));
    }
  }
  /// Adds a time in whole milliseconds; -1 for none.
  LogEvent& WithMilliseconds(std::string_view key,
                             std::optional<Duration> time);

 private:
  LogEvent& WithDecimal(std::string_view key, double value);

  LogLevel m_level;
  /// Whether the level is enabled; if not, no line is built or written.
  bool m_enabled;
  std::string m_line;
};

}  // namespace bambooquay
