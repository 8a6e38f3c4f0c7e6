// The time from which libevent counts timeouts.
#pragma once

#include <event2/event.h>

namespace bambooquay {

/// Makes timeouts that are set next count from now. Otherwise they count from
/// the begin of the loop's turn, so they are short after a slow callback.
inline void StartTimeoutsNow(event_base* base) noexcept {
  event_base_update_cache_time(base);
}

}  // namespace bambooquay
