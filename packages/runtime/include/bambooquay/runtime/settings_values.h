// Readers for settings that several processes share: addresses and logging.
#pragma once

#include "bambooquay/core/ini_section_reader.h"
#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/log.h"

namespace bambooquay {

/// Reads a required `IP:PORT` value. Errors are added to the reader.
/// @returns a default Endpoint on error.
[[nodiscard]] Endpoint ReadEndpoint(IniSectionReader& reader, const char* key);
/// Reads `level` and `lines_per_second` from a `[log]` section. Errors are
/// added to the reader.
[[nodiscard]] LogSettings ReadLogSettings(IniSectionReader& reader);

}  // namespace bambooquay
