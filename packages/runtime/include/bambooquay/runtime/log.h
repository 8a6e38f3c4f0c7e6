// Structured logs over log4cxx: one line of key=value pairs for each event.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace bambooquay {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError, kOff };

/// What a process logs, and how much of it.
struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  /// Lines a second of each kind of event; what exceeds it is counted and
  /// told in a `log_lines_left_out` event. 0 means no limit.
  double lines_per_second = 200.0;
};

/// Sends logs to standard output. Writing never blocks: lines that a stalled
/// reader does not take are kept up to a bound, and counted beyond it. A later
/// call changes the settings; lines that wait and counts stay.
/// @param process  written as `process=` on each line.
void ConfigureLogging(std::string_view process, const LogSettings& settings);

/// Lines that were not written since the start.
struct LogLosses {
  std::uint64_t over_budget = 0;  ///< Left out by the limit of their event.
  std::uint64_t stalled = 0;      ///< Lost because nobody read the output.
};
[[nodiscard]] LogLosses GetLogLosses() noexcept;

/// One event; the line is written when the object goes.
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

  /// Adds a pair; values with blanks, quotes or '=' are quoted.
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

 private:
  LogEvent& WithDecimal(std::string_view key, double value);

  LogLevel m_level;
  /// Whether the level is logged; if not, nothing is composed.
  bool m_enabled;
  std::string m_line;
};

}  // namespace bambooquay
