// Parses INI text with source positions. inih does the parsing; the line of
// each section and key is counted in the callback that supplies inih with
// lines.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bambooquay {

/// An error in an INI text, with its position.
struct IniError {
  std::string file;
  std::size_t line = 0;  ///< 1-based; 0 if the error concerns no single line.
  std::string section;
  std::string key;
  std::string description;

  /// @returns `file:line: [section] key: description`.
  [[nodiscard]] std::string ToString() const;
};

struct IniEntry {
  std::string key;
  std::string value;
  std::size_t line = 0;
};

struct IniSection {
  std::string name;
  std::size_t line = 0;
  std::vector<IniEntry> entries;
};

/// A parsed INI text. Continuation lines are joined with a single space.
struct IniDocument {
  std::string file;
  std::vector<IniSection> sections;
};

/// Parses `text` and appends syntax errors to `errors`.
///
/// @param file  file name for error messages.
/// @returns the sections in the order of the text.
[[nodiscard]] IniDocument ParseIni(std::string_view text, std::string file,
                                   std::vector<IniError>& errors);

}  // namespace bambooquay
