// Holds up the event loop of a test.
#pragma once

#include <thread>

#include "bambooquay/core/clock.h"

namespace bambooquay::testing {

/// Holds up the event loop, as a slow callback or a machine without processor
/// time would.
inline void HoldUp(Duration time) { std::this_thread::sleep_for(time); }

}  // namespace bambooquay::testing
