// The line ends in the framing of HTTP responses.
#include "line_end_check.h"

#include <algorithm>

namespace bambooquay {

void LineEndCheck::OnFraming(std::string_view bytes) noexcept {
  std::ranges::for_each(bytes, [this](char byte) {
    const bool is_expected = (!m_is_behind_return || byte == '\n') &&
                             (!m_is_behind_data || byte == '\r');
    m_is_valid = m_is_valid && is_expected;
    m_is_behind_return = byte == '\r';
    m_is_behind_data = false;
  });
}

}  // namespace bambooquay
