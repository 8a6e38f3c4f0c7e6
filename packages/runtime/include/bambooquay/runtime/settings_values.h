// Settings values that several processes read: addresses and log levels.
#pragma once

#include <string>

#include "bambooquay/core/ini_section_reader.h"
#include "bambooquay/runtime/endpoint.h"
#include "bambooquay/runtime/log.h"

namespace bambooquay {

/// Reads a required `IP:PORT`; faults are noted in the reader.
[[nodiscard]] Endpoint ReadEndpoint(IniSectionReader& reader, const char* key);
/// @returns the level called `name`; unknown names are `info`.
[[nodiscard]] LogLevel ParseLogLevel(const std::string& name);

}  // namespace bambooquay
