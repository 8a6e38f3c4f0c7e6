// Names of outcomes and refusals in logs, metrics and replies.
#include "bambooquay/core/work.h"

namespace bambooquay {

std::string_view ToString(Outcome outcome) noexcept {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kRan:
      return "ran";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

std::string_view ToString(Refusal refusal) noexcept {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kQueueFull:
      return "queue_full";
    case Refusal::kDeadline:
      return "deadline";
    case Refusal::kStaleEpoch:
      return "stale_epoch";
    case Refusal::kKeyWithdrawn:
      return "key_withdrawn";
    case Refusal::kNotLoaded:
      return "not_loaded";
    case Refusal::kLeaving:
      return "leaving";
    case Refusal::kDuplicate:
      return "duplicate";
    case Refusal::kUpstreamDown:
      return "upstream_down";
    case Refusal::kNotReady:
      break;
  }
  return "not_ready";
}

}  // namespace bambooquay
