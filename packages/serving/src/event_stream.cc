// Splits a stream of server-sent events into whole events.
#include "bambooquay/serving/event_stream.h"

#include <algorithm>
#include <utility>

namespace bambooquay {
namespace {

bool IsDecimal(std::string_view id) noexcept {
  return !id.empty() &&
         std::ranges::all_of(id, [](char c) { return c >= '0' && c <= '9'; });
}

/// @returns a decimal number without its leading zeros.
std::string_view SignificantDigits(std::string_view number) noexcept {
  number.remove_prefix(std::min(number.find_first_not_of('0'), number.size()));
  return number;
}

}  // namespace

bool MayFollow(std::string_view last_id, std::string_view id) noexcept {
  if (!IsDecimal(last_id) || !IsDecimal(id)) {
    return last_id != id;
  }
  const std::string_view last = SignificantDigits(last_id);
  const std::string_view next = SignificantDigits(id);
  return last.size() != next.size() ? last.size() < next.size() : last < next;
}

std::string EventStreamSplitter::Append(std::string_view bytes) {
  m_pending += bytes;
  std::size_t complete_size = 0;
  for (auto end = m_pending.find('\n', m_scanned); end != std::string::npos;
       end = m_pending.find('\n', m_scanned)) {
    std::string_view line(m_pending.data() + m_line_start, end - m_line_start);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    m_scanned = end + 1;
    m_line_start = m_scanned;
    if (!line.empty()) {
      ParseLine(line);
      continue;
    }
    if (!m_event_id.empty() && !m_last_id.empty() &&
        !MayFollow(m_last_id, m_event_id)) {
      m_out_of_order_id = m_event_id;
      break;
    }
    complete_size = m_scanned;
    if (!m_event_id.empty()) {
      m_last_id = std::exchange(m_event_id, {});
    }
  }
  std::string events = m_pending.substr(0, complete_size);
  m_pending.erase(0, complete_size);
  m_line_start -= complete_size;
  m_scanned = m_pending.size();
  return events;
}

std::string EventStreamSplitter::TakeRemainder() {
  m_scanned = 0;
  m_line_start = 0;
  m_event_id.clear();
  m_out_of_order_id.clear();
  return std::exchange(m_pending, {});
}

void EventStreamSplitter::ParseLine(std::string_view line) {
  constexpr std::string_view kIdField = "id:";
  if (!line.starts_with(kIdField)) {
    return;
  }
  line.remove_prefix(kIdField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  m_event_id = line;
}

}  // namespace bambooquay
