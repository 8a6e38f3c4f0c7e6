// Reads a whole file.
#pragma once

#include <optional>
#include <string>

namespace bambooquay {

/// @returns the content of the file, or nothing if it cannot be read.
[[nodiscard]] std::optional<std::string> ReadTextFile(const std::string& path);

}  // namespace bambooquay
