// A log4cxx appender that never blocks on its output.
#pragma once

#include <log4cxx/appenderskeleton.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bambooquay {

/// Writes lines to a descriptor without blocking. Lines that cannot be written
/// yet are buffered up to a limit; further lines are dropped whole and counted.
class LogWriter {
 public:
  explicit LogWriter(int descriptor) noexcept : m_descriptor(descriptor) {}

  /// Writes or buffers `line`, which includes its line break.
  void Write(std::string_view line);
  /// @returns the number of lines dropped because the buffer was full.
  [[nodiscard]] std::uint64_t dropped() const noexcept { return m_dropped; }

 private:
  void Flush();

  int m_descriptor;
  std::string m_pending;
  std::uint64_t m_dropped = 0;
};

/// Formats log events with its layout and writes them through a LogWriter.
class NonBlockingAppender : public log4cxx::AppenderSkeleton {
 public:
  explicit NonBlockingAppender(std::unique_ptr<LogWriter> writer)
      : m_writer(std::move(writer)) {}

  void close() override {}
  [[nodiscard]] bool requiresLayout() const override { return true; }
  [[nodiscard]] const LogWriter& writer() const noexcept { return *m_writer; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override;

 private:
  std::unique_ptr<LogWriter> m_writer;
};

}  // namespace bambooquay
