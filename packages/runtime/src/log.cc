// Structured logging through log4cxx.
#include "bambooquay/runtime/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>

#include "bambooquay/core/clock.h"
#include "log_budget.h"
#include "non_blocking_appender.h"

namespace bambooquay {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

log4cxx::LoggerPtr RootLogger() { return log4cxx::Logger::getRootLogger(); }

log4cxx::LevelPtr ToLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
    case LogLevel::kOff:
      break;
  }
  return log4cxx::Level::getOff();
}

// The appender of the process. It is never destroyed, because log4cxx releases
// resources that its appenders use before static objects are destroyed.
std::shared_ptr<NonBlockingAppender>& CurrentAppender() {
  static auto* const kAppender = new std::shared_ptr<NonBlockingAppender>();
  return *kAppender;
}

LogRateLimiter& RateLimiter() {
  static LogRateLimiter rate_limiter(0.0);
  return rate_limiter;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::ranges::any_of(value, [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
         });
}

// Escapes control characters, so that a value cannot inject another log line.
void AppendQuoted(std::string& line, std::string_view value) {
  line += '"';
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (byte < ' ' || byte == 0x7f) {
      line += "\\x";
      line += kHexDigits[byte >> 4];
      line += kHexDigits[byte & 0xf];
    } else {
      line += c;
    }
  }
  line += '"';
}

}  // namespace

void ConfigureLogging(std::string_view process, const LogSettings& settings) {
  const std::string pattern =
      "ts=%d{ISO8601} level=%p process=" + std::string(process) + " %m%n";
  const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
  std::shared_ptr<NonBlockingAppender>& appender = CurrentAppender();
  if (appender == nullptr) {
    appender = std::make_shared<NonBlockingAppender>(
        std::make_unique<LogWriter>(STDOUT_FILENO));
  }
  appender->setLayout(layout);
  log4cxx::LogManager::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  RootLogger()->setLevel(ToLevel(settings.level));
  RateLimiter().SetRate(settings.lines_per_second);
}

DroppedLogLines GetDroppedLogLines() noexcept {
  return {
      RateLimiter().suppressed(),
      CurrentAppender() == nullptr ? 0 : CurrentAppender()->writer().dropped()};
}

LogEvent::LogEvent(LogLevel level, std::string_view event)
    : m_level(level), m_enabled(RootLogger()->isEnabledFor(ToLevel(level))) {
  if (m_enabled) {
    m_line = "event=" + std::string(event);
  }
}

LogEvent::~LogEvent() {
  if (!m_enabled) {
    return;
  }
  const log4cxx::LoggerPtr logger = RootLogger();
  const std::string event = m_line.substr(0, m_line.find(' '));
  const LogRateLimiter::Decision decision =
      RateLimiter().TryAcquire(event, SteadyClock().Now());
  if (!decision.allowed) {
    return;
  }
  if (decision.suppressed > 0) {
    logger->forcedLog(log4cxx::Level::getWarn(),
                      "event=log_lines_left_out of_" + event +
                          " count=" + std::to_string(decision.suppressed));
  }
  logger->forcedLog(ToLevel(m_level), m_line);
}

LogEvent& LogEvent::WithMilliseconds(std::string_view key,
                                     std::optional<Duration> time) {
  return With(key,
              time.has_value() ? *time / std::chrono::milliseconds(1) : -1);
}

LogEvent& LogEvent::WithDecimal(std::string_view key, double value) {
  if (!m_enabled) {
    return *this;
  }
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", value);
  return With(key, std::string_view(text.data()));
}

LogEvent& LogEvent::With(std::string_view key, std::string_view value) {
  if (!m_enabled) {
    return *this;
  }
  m_line += ' ';
  m_line += key;
  m_line += '=';
  if (NeedsQuotes(value)) {
    AppendQuoted(m_line, value);
  } else {
    m_line += value;
  }
  return *this;
}

}  // namespace bambooquay
