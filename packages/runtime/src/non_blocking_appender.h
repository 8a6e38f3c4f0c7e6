// A log4cxx appender that never waits for the reader of its output.
#pragma once

#include <log4cxx/appenderskeleton.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bambooquay {

/// Writes whole lines to a descriptor without blocking. What cannot be
/// written waits, up to a bound; lines beyond it are lost and counted.
class LogWriter {
 public:
  explicit LogWriter(int descriptor) noexcept : m_descriptor(descriptor) {}

  void Write(std::string_view line);
  [[nodiscard]] std::uint64_t lost() const noexcept { return m_lost; }

 private:
  void Flush();

  int m_descriptor;
  std::string m_pending;
  std::uint64_t m_lost = 0;
};

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
