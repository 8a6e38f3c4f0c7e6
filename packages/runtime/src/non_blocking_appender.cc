// A log4cxx appender that never blocks on its output.
#include "non_blocking_appender.h"

#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/layout.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace bambooquay {
namespace {

// Limit on the log text that is buffered while the reader of the output has
// stalled.
constexpr std::size_t kMaxPendingBytes = 256 * 1024;

}  // namespace

void LogWriter::Write(std::string_view line) {
  if (m_pending.size() + line.size() > kMaxPendingBytes) {
    ++m_dropped;
  } else {
    m_pending += line;
  }
  Flush();
}

void LogWriter::Flush() {
  while (!m_pending.empty()) {
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    // The descriptor is not set to O_NONBLOCK, because it may be shared with
    // other processes.
    pollfd poll_entry{m_descriptor, POLLOUT, 0};
    if (poll(&poll_entry, 1, 0) != 1 || (poll_entry.revents & POLLOUT) == 0) {
      return;
    }
    const ssize_t written =
        write(m_descriptor, m_pending.data(),
              std::min<std::size_t>(m_pending.size(), PIPE_BUF));
    if (written <= 0) {
      return;
    }
    m_pending.erase(0, static_cast<std::size_t>(written));
  }
}

void NonBlockingAppender::append(const log4cxx::spi::LoggingEventPtr& event,
                                 log4cxx::helpers::Pool& pool) {
  log4cxx::LogString formatted;
  getLayout()->format(formatted, event, pool);
  LOG4CXX_ENCODE_CHAR(line, formatted);
  m_writer->Write(line);
}

}  // namespace bambooquay
