// Renders the state of the fleet as a table for a terminal.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace bambooquay {

/// Renders one line for each instance, unhealthy ones first: unreachable, not
/// ready, on an older configuration than others, leaving, then the rest.
///
/// @code
/// std::cout << RenderStatusTable(result["instances"]);
/// // INSTANCE  DATA CENTRE  ROLE   STATE  CONFIG  RUNNING  QUEUED  DETAIL
/// // entry-1   south        entry  ok     v3      2
/// @endcode
/// @param instances  the array that `bambooquay status --output json` prints.
[[nodiscard]] std::string RenderStatusTable(const nlohmann::json& instances);

}  // namespace bambooquay
