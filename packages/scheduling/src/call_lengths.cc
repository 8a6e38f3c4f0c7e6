// How many events the responses of each route have.
#include "bambooquay/scheduling/call_lengths.h"

namespace bambooquay {
namespace {

// Weight of the last call.
constexpr double kWeight = 0.1;

}  // namespace

void CallLengths::Record(const std::string& route, int events) {
  const auto [found, is_new] = m_events.try_emplace(route, events);
  if (!is_new) {
    found->second += (events - found->second) * kWeight;
  }
}

double CallLengths::Expected(const std::string& route) const {
  const auto found = m_events.find(route);
  return found == m_events.end() ? 0.0 : found->second;
}

}  // namespace bambooquay
