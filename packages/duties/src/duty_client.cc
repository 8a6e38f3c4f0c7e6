// Calls to the platform that only the holder of a duty may make.
#include "bambooquay/duties/duty_client.h"

#include <array>
#include <cstddef>

namespace bambooquay {

std::string_view ToString(DutyCallResult result) noexcept {
  constexpr std::array<std::string_view, 5> kNames = {
      "accepted", "busy", "rejected", "not_sent", "unknown"};
  return kNames.at(static_cast<std::size_t>(result));
}

}  // namespace bambooquay
