// Typed access to the keys of an INI section. Missing, malformed, repeated and
// unknown keys are reported as IniError.
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

/// Reads the keys of one section and appends an error with its position for
/// every key that is not valid.
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

  /// @returns the value of a required key; adds an error and returns "" if it
  ///   is missing or empty.
  std::string Text(std::string_view key);
  /// @returns the value of an optional key, or `fallback`.
  std::string Text(std::string_view key, std::string_view fallback);
  /// @returns the comma-separated items of an optional key; empty if missing.
  std::vector<std::string> List(std::string_view key);
  /// @returns a required number within [low, high]; adds an error and returns
  ///   `low` if it is missing or not valid.
  double Number(std::string_view key, double low, double high);
  /// @returns an optional number within [low, high], or `fallback`.
  double Number(std::string_view key, double low, double high, double fallback);
  /// @returns an optional whole number within [low, high], or `fallback`.
  std::int64_t Integer(std::string_view key, std::int64_t low,
                       std::int64_t high, std::int64_t fallback);
  /// @returns an optional `yes` or `no` value, or `fallback`.
  bool Flag(std::string_view key, bool fallback);
  /// @returns the value of an optional key that must be one of `choices`; the
  ///   first choice is the default.
  std::string Choice(std::string_view key,
                     const std::vector<std::string>& choices);
  /// Adds an error for each key in the section that was never requested.
  void RejectUnknownKeys();
  /// Adds an error at the line of `key`, or of the section if it lacks the key.
  void AddError(std::string_view key, std::string description);

 private:
  const IniEntry* Find(std::string_view key);
  double ParseNumber(const IniEntry& entry, double low, double high);

  const std::string& m_file;
  const IniSection& m_section;
  std::vector<IniError>& m_errors;
  /// Keys that have been requested so far.
  std::vector<std::string> m_requested_keys;
};

/// Reads a settings file of named sections, each of which may occur only once.
///
/// @param required  sections that must be present.
/// @param read  called for each section; returns false if its name is unknown.
/// @returns all errors, sorted by line; empty if the text is valid.
[[nodiscard]] std::vector<IniError> ReadSections(
    std::string_view text, std::string file,
    const std::vector<std::string>& required,
    const std::function<bool(const std::string& name,
                             IniSectionReader& reader)>& read);

/// Reads a settings file into a structure.
///
/// @tparam Reader  constructed from a role and the settings to fill in.
///   `RequiredSections()` returns the sections that must be present, and
///   `ReadSection(name, reader)` reads one section into the settings and
///   returns false if its name is unknown.
/// @returns the settings, or all errors found.
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

/// Splits `text` at commas.
/// @returns the items without surrounding whitespace; empty ones are dropped.
[[nodiscard]] std::vector<std::string> SplitList(std::string_view text);

}  // namespace bambooquay
