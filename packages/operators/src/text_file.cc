// Reads a whole file.
#include "text_file.h"

#include <fstream>
#include <sstream>

namespace bambooquay {

std::optional<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return std::nullopt;
  }
  return text.str();
}

}  // namespace bambooquay
