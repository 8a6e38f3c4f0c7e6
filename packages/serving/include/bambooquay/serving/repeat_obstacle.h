// Why a call can't be repeated at another upstream.
#pragma once

#include <cstdint>
#include <string_view>

namespace bambooquay {

/// Why a call can't be repeated now. The last two may pass by themselves.
enum class RepeatObstacle : std::uint8_t {
  kNotRepeatable,    ///< It may have run, and its route allows one run only.
  kQuarantined,      ///< Its prompt may be what breaks upstreams.
  kPartialResponse,  ///< The caller has part of a response other than a stream.
  kNoAttemptLeft,    ///< As many upstreams were tried as the route allows.
  kNoTimeLeft,       ///< The time limit is too near.
  kNoUpstreamFree,   ///< No other upstream can take it.
  kOverBudget,       ///< The retry budget is used up.
};

/// @returns the name of `obstacle` in logs and metrics.
[[nodiscard]] constexpr std::string_view ToString(
    RepeatObstacle obstacle) noexcept {
  switch (obstacle) {
    case RepeatObstacle::kNotRepeatable:
      return "not_repeatable";
    case RepeatObstacle::kQuarantined:
      return "quarantined";
    case RepeatObstacle::kPartialResponse:
      return "partial_response";
    case RepeatObstacle::kNoAttemptLeft:
      return "no_attempt_left";
    case RepeatObstacle::kNoTimeLeft:
      return "no_time_left";
    case RepeatObstacle::kNoUpstreamFree:
      return "no_upstream_free";
    case RepeatObstacle::kOverBudget:
      return "over_budget";
  }
  return "";
}

}  // namespace bambooquay
