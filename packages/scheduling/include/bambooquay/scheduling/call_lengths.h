// How many events the responses of each route have.
#pragma once

#include <string>
#include <unordered_map>

namespace bambooquay {

/// An average of the events of the calls that were served, by route.
class CallLengths {
 public:
  void Record(const std::string& route, int events);
  /// @returns the expected events of a call; 0 for a route without calls.
  [[nodiscard]] double Expected(const std::string& route) const;

 private:
  std::unordered_map<std::string, double> m_events;
};

}  // namespace bambooquay
