// The status line of an HTTP response.
#include "status_line.h"

#include <algorithm>

namespace bambooquay {
namespace {

// What is left out of a longer line makes it invalid.
constexpr std::size_t kMaxLineBytes = std::size_t{8} * 1024;
constexpr std::string_view kProtocol = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;
constexpr std::string_view kSwitchingProtocols = "101";

bool IsDigit(char c) noexcept { return c >= '0' && c <= '9'; }

/// @returns whether `c` may stand in a reason phrase.
bool IsText(unsigned char c) noexcept {
  return c == '\t' || (c >= ' ' && c != 0x7f);
}

bool IsValidStatus(std::string_view status) noexcept {
  return status.size() == kStatusDigits &&
         std::ranges::all_of(status, &IsDigit) && status.front() >= '1' &&
         status.front() <= '5' && status != kSwitchingProtocols;
}

/// Removes `prefix` from the beginning of `text`.
/// @returns whether it was there.
bool Consume(std::string_view& text, std::string_view prefix) noexcept {
  if (!text.starts_with(prefix)) {
    return false;
  }
  text.remove_prefix(prefix.size());
  return true;
}

}  // namespace

void StatusLine::Clear() {
  m_line.clear();
  m_is_complete = false;
}

void StatusLine::Append(std::string_view bytes) {
  if (m_is_complete) {
    return;
  }
  const auto end = bytes.find('\n');
  m_line += bytes.substr(0, std::min(end, kMaxLineBytes + 1 - m_line.size()));
  m_is_complete = end != std::string_view::npos;
}

bool StatusLine::IsValid() const noexcept {
  std::string_view rest = m_line;
  if (!m_is_complete || rest.size() > kMaxLineBytes) {
    return false;
  }
  if (rest.ends_with('\r')) {
    rest.remove_suffix(1);
  }
  if (!Consume(rest, kProtocol) || rest.empty() || !IsDigit(rest.front())) {
    return false;
  }
  rest.remove_prefix(1);
  if (!Consume(rest, " ") || !IsValidStatus(rest.substr(0, kStatusDigits))) {
    return false;
  }
  rest.remove_prefix(kStatusDigits);
  // Some servers leave out the space before an empty reason phrase.
  return rest.empty() ||
         (Consume(rest, " ") && std::ranges::all_of(rest, &IsText));
}

}  // namespace bambooquay
