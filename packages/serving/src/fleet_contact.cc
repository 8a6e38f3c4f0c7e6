// Whether what an entry knows of the fleet is that of the present.
#include "bambooquay/serving/fleet_contact.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;

// Some status periods: statuses of the present arrive after those that waited.
constexpr Duration kCatchUpTime = milliseconds(600);
constexpr Duration kMaxListAge = milliseconds(1000);

}  // namespace

bool IsInTouch(const FleetContact& contact) noexcept {
  if (contact.has_other_routes || (contact.since_pause.has_value() &&
                                   *contact.since_pause < kCatchUpTime)) {
    return false;
  }
  // Counts this entry with those that hear each other.
  const bool hears_most =
      2 * (contact.heard_peers + 1) > contact.known_peers + 1;
  const bool has_list =
      contact.list_age.has_value() && *contact.list_age <= kMaxListAge;
  return hears_most || has_list;
}

}  // namespace bambooquay
