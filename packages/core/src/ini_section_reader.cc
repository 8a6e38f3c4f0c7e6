// Typed access to the keys of an INI section.
#include "bambooquay/core/ini_section_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <utility>

namespace bambooquay {
namespace {

std::string FormatBound(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) {
    return {};
  }
  const auto last = text.find_last_not_of(" \t\r");
  return text.substr(first, last - first + 1);
}

}  // namespace

IniSectionReader::IniSectionReader(const std::string& file,
                                   const IniSection& section,
                                   std::vector<IniError>& errors)
    : m_file(file), m_section(section), m_errors(errors) {
  for (const IniEntry& entry : section.entries) {
    const auto occurrences =
        std::ranges::count(section.entries, entry.key, &IniEntry::key);
    if (occurrences > 1 && Find(entry.key) != &entry) {
      m_errors.push_back({m_file, entry.line, section.name, entry.key,
                          "the key is given twice"});
    }
  }
  // Find() has recorded these keys as requested by the caller.
  m_requested_keys.clear();
}

std::string IniSectionReader::Text(std::string_view key) {
  const IniEntry* entry = Find(key);
  if (entry == nullptr || entry->value.empty()) {
    AddError(key, "a value is required");
    return {};
  }
  return entry->value;
}

std::string IniSectionReader::Text(std::string_view key,
                                   std::string_view fallback) {
  const IniEntry* entry = Find(key);
  return entry == nullptr ? std::string(fallback) : entry->value;
}

std::vector<std::string> IniSectionReader::List(std::string_view key) {
  const IniEntry* entry = Find(key);
  return entry == nullptr ? std::vector<std::string>()
                          : SplitList(entry->value);
}

double IniSectionReader::Number(std::string_view key, double low, double high) {
  const IniEntry* entry = Find(key);
  if (entry == nullptr) {
    AddError(key, "a number is required");
    return low;
  }
  return ParseNumber(*entry, low, high);
}

double IniSectionReader::Number(std::string_view key, double low, double high,
                                double fallback) {
  const IniEntry* entry = Find(key);
  return entry == nullptr ? fallback : ParseNumber(*entry, low, high);
}

std::int64_t IniSectionReader::Integer(std::string_view key, std::int64_t low,
                                       std::int64_t high,
                                       std::int64_t fallback) {
  const double value =
      Number(key, static_cast<double>(low), static_cast<double>(high),
             static_cast<double>(fallback));
  if (value != std::floor(value)) {
    AddError(key, "expected a whole number");
  }
  return static_cast<std::int64_t>(value);
}

bool IniSectionReader::Flag(std::string_view key, bool fallback) {
  const IniEntry* entry = Find(key);
  if (entry == nullptr) {
    return fallback;
  }
  if (entry->value != "yes" && entry->value != "no") {
    AddError(key, "expected 'yes' or 'no', found '" + entry->value + "'");
  }
  return entry->value == "yes";
}

std::string IniSectionReader::Choice(std::string_view key,
                                     const std::vector<std::string>& choices) {
  const IniEntry* entry = Find(key);
  if (entry == nullptr) {
    return choices.front();
  }
  if (std::ranges::find(choices, entry->value) == choices.end()) {
    std::string expected;
    for (const std::string& choice : choices) {
      expected += (expected.empty() ? "'" : ", '") + choice + "'";
    }
    AddError(key,
             "expected one of " + expected + ", found '" + entry->value + "'");
  }
  return entry->value;
}

void IniSectionReader::RejectUnknownKeys() {
  for (const IniEntry& entry : m_section.entries) {
    if (std::ranges::find(m_requested_keys, entry.key) ==
        m_requested_keys.end()) {
      m_errors.push_back(
          {m_file, entry.line, m_section.name, entry.key, "unknown key"});
    }
  }
}

void IniSectionReader::AddError(std::string_view key, std::string description) {
  const IniEntry* entry = Find(key);
  m_errors.push_back({m_file, entry == nullptr ? m_section.line : entry->line,
                      m_section.name, std::string(key),
                      std::move(description)});
}

const IniEntry* IniSectionReader::Find(std::string_view key) {
  m_requested_keys.emplace_back(key);
  const auto found = std::ranges::find(m_section.entries, key, &IniEntry::key);
  return found == m_section.entries.end() ? nullptr : &*found;
}

double IniSectionReader::ParseNumber(const IniEntry& entry, double low,
                                     double high) {
  double value = 0.0;
  const char* end = entry.value.data() + entry.value.size();
  const auto result = std::from_chars(entry.value.data(), end, value);
  if (result.ec != std::errc() || result.ptr != end || !std::isfinite(value)) {
    AddError(entry.key, "expected a number, found '" + entry.value + "'");
    return low;
  }
  if (value < low || value > high) {
    AddError(entry.key, "expected a number from " + FormatBound(low) + " to " +
                            FormatBound(high) + ", found " + entry.value);
    return low;
  }
  return value;
}

std::vector<IniError> ReadSections(
    std::string_view text, std::string file,
    const std::vector<std::string>& required,
    const std::function<bool(const std::string& name,
                             IniSectionReader& reader)>& read) {
  std::vector<IniError> errors;
  const IniDocument document = ParseIni(text, std::move(file), errors);
  std::set<std::string> seen;
  for (const IniSection& section : document.sections) {
    IniSectionReader reader(document.file, section, errors);
    if (!seen.insert(section.name).second) {
      reader.AddError("", "the section is given twice");
    } else if (read(section.name, reader)) {
      reader.RejectUnknownKeys();
    } else {
      reader.AddError("", "unknown section");
    }
  }
  for (const std::string& name : required) {
    if (!seen.contains(name)) {
      errors.push_back({document.file, 0, name, "", "the section is missing"});
    }
  }
  std::ranges::stable_sort(errors, {}, &IniError::line);
  return errors;
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty()) {
    const auto comma = text.find(',');
    const std::string_view item = Trim(text.substr(0, comma));
    if (!item.empty()) {
      items.emplace_back(item);
    }
    text.remove_prefix(comma == std::string_view::npos ? text.size()
                                                       : comma + 1);
  }
  return items;
}

}  // namespace bambooquay
