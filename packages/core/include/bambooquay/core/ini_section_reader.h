// Typed, checked access to one INI section: every key is read once, and what
// is missing, malformed, repeated or unknown becomes an IniError.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "bambooquay/core/ini.h"

namespace bambooquay {

/// Reads the keys of one section and reports every fault with its position.
///
/// @code
/// IniSectionReader reader(document.file, section, errors);
/// const double rate = reader.Number("rate", 0.0, 1e9);
/// reader.RejectUnknownKeys();
/// @endcode
class IniSectionReader {
 public:
  IniSectionReader(const std::string& file, const IniSection& section,
                   std::vector<IniError>& errors);

  /// @returns the value of a required key, or "" with an error noted.
  std::string Text(std::string_view key);
  /// @returns the value of an optional key, or `fallback`.
  std::string Text(std::string_view key, std::string_view fallback);
  /// @returns the comma-separated items of an optional key.
  std::vector<std::string> List(std::string_view key);
  /// @returns a required number within [low, high].
  double Number(std::string_view key, double low, double high);
  /// @returns an optional number within [low, high].
  double Number(std::string_view key, double low, double high, double fallback);
  /// @returns an optional whole number within [low, high].
  std::int64_t Integer(std::string_view key, std::int64_t low,
                       std::int64_t high, std::int64_t fallback);
  /// @returns an optional `yes`/`no` value.
  bool Flag(std::string_view key, bool fallback);
  /// @returns one of `choices`; the first is the default.
  std::string Choice(std::string_view key,
                     const std::vector<std::string>& choices);
  /// Notes an error for each key that was not asked for.
  void RejectUnknownKeys();
  /// Notes an error at `key`, or at the section when the key is absent.
  void AddError(std::string_view key, std::string description);

 private:
  const IniEntry* Find(std::string_view key);
  double ParseNumber(const IniEntry& entry, double low, double high);

  const std::string& m_file;
  const IniSection& m_section;
  std::vector<IniError>& m_errors;
  /// Every key asked for so far.
  std::vector<std::string> m_known;
};

/// Reads a settings text of named sections, each given once at most.
///
/// @param required  sections that must be there.
/// @param read  reads one section; returns whether it knows the section.
/// @returns every fault, in the order of the text; none means that the text
///   is valid.
[[nodiscard]] std::vector<IniError> ReadSections(
    std::string_view text, std::string file,
    const std::vector<std::string>& required,
    const std::function<bool(const std::string& name,
                             IniSectionReader& reader)>& read);

/// Reads a settings text into a structure.
///
/// @tparam Reader  made from a role and the settings; names the sections that
///   must be there (`RequiredSections()`) and fills in the settings from one
///   (`ReadSection(name, reader)`, which returns whether it is known).
/// @returns the settings, or every fault found.
template <typename Reader, typename Settings, typename Role>
[[nodiscard]] std::variant<Settings, std::vector<IniError>> ParseSettings(
    std::string_view text, std::string file, Role role) {
  Settings settings;
  Reader sections(role, settings);
  std::vector<IniError> errors =
      ReadSections(text, std::move(file), sections.RequiredSections(),
                   [&](const std::string& name, IniSectionReader& reader) {
                     return sections.ReadSection(name, reader);
                   });
  if (!errors.empty()) {
    return errors;
  }
  return settings;
}

/// @returns `text` split at commas, with blanks trimmed and empties dropped.
[[nodiscard]] std::vector<std::string> SplitList(std::string_view text);

}  // namespace bambooquay
