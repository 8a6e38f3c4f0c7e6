// Reading a whole file.
#pragma once

#include <optional>
#include <string>

namespace bambooquay {

/// @returns the bytes of a file, or nothing if it cannot be read.
[[nodiscard]] std::optional<std::string> ReadTextFile(const std::string& path);

}  // namespace bambooquay
