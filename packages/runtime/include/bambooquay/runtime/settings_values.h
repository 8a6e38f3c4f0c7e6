// Settings values that several processes read: addresses and log levels.
#pragma once

#include "bambooquay/core/ini_section_reader.h"
#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/log.h"

namespace bambooquay {

/// Reads a required `IP:PORT`; faults are noted in the reader.
[[nodiscard]] Endpoint ReadEndpoint(IniSectionReader& reader, const char* key);
/// Reads `level` and `lines_per_second` of a `[log]` section.
[[nodiscard]] LogSettings ReadLogSettings(IniSectionReader& reader);

}  // namespace bambooquay
