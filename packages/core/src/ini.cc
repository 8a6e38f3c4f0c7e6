// Parses INI text with inih and records the line of each section and key.
#include "bambooquay/core/ini.h"

#include <ini.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace bambooquay {
namespace {

// inih silently truncates section names and keys to this length.
constexpr std::size_t kMaxNameLength = 49;

/// Supplies inih with one line at a time and collects the entries it reports.
class LineCountingParser {
 public:
  LineCountingParser(std::string_view text, std::string file,
                     std::vector<IniError>& errors)
      : m_remaining_text(text), m_errors(errors) {
    m_document.file = std::move(file);
  }

  IniDocument Parse() {
    const int bad_line =
        ini_parse_stream(&LineCountingParser::ReadLine, this,
                         &LineCountingParser::HandleEntry, this);
    if (bad_line > 0) {
      AddError(static_cast<std::size_t>(bad_line),
               "expected '[section]' or 'key = value'");
    }
    return std::move(m_document);
  }

 private:
  static char* ReadLine(char* buffer, int size, void* self) {
    return static_cast<LineCountingParser*>(self)->NextLine(
        buffer, static_cast<std::size_t>(size));
  }

  static int HandleEntry(void* self, const char* section, const char* name,
                         const char* value) {
    static_cast<LineCountingParser*>(self)->AddEntry(section, name, value);
    return 1;
  }

  char* NextLine(char* buffer, std::size_t size) {
    if (m_remaining_text.empty()) {
      return nullptr;
    }
    ++m_line;
    const std::size_t end = m_remaining_text.find('\n');
    std::string_view line = m_remaining_text.substr(0, end);
    m_remaining_text.remove_prefix(
        end == std::string_view::npos ? m_remaining_text.size() : end + 1);
    if (line.find('\0') != std::string_view::npos) {
      AddError(m_line, "the line holds a zero byte");
      line = {};
    }
    if (line.size() + 2 > size) {
      AddError(m_line, "the line is longer than " + std::to_string(size - 2) +
                           " characters; continue it on an indented line");
      line = line.substr(0, size - 2);
    }
    m_is_continuation =
        !line.empty() &&
        std::isspace(static_cast<unsigned char>(line.front())) != 0;
    RecordSection(line);
    std::ranges::copy(line, buffer);
    buffer[line.size()] = '\n';
    buffer[line.size() + 1] = '\0';
    return buffer;
  }

  // inih reports a section only together with a key, so sections are recorded
  // here in order to include empty ones.
  void RecordSection(std::string_view line) {
    if (!line.starts_with('[')) {
      return;
    }
    const std::size_t end = line.find(']');
    if (end == std::string_view::npos) {
      return;
    }
    const std::string_view name = line.substr(1, end - 1);
    if (name.size() > kMaxNameLength) {
      AddError(m_line, "the section name is longer than " +
                           std::to_string(kMaxNameLength) + " characters");
    }
    m_document.sections.push_back({std::string(name), m_line, {}});
  }

  void AddEntry(std::string_view section, std::string_view name,
                std::string_view value) {
    if (m_document.sections.empty()) {
      AddError(m_line, "a key stands before the first section");
      m_document.sections.push_back({std::string(section), m_line, {}});
    }
    auto& entries = m_document.sections.back().entries;
    if (m_is_continuation && !entries.empty() && entries.back().key == name) {
      entries.back().value += ' ';
      entries.back().value += value;
      return;
    }
    if (name.size() >= kMaxNameLength) {
      AddError(m_line, "the key is longer than " +
                           std::to_string(kMaxNameLength) + " characters");
    }
    entries.push_back({std::string(name), std::string(value), m_line});
  }

  void AddError(std::size_t line, std::string description) {
    std::string section;
    for (const IniSection& parsed_section : m_document.sections) {
      if (parsed_section.line <= line) {
        section = parsed_section.name;
      }
    }
    m_errors.push_back(
        {m_document.file, line, section, "", std::move(description)});
  }

  std::string_view m_remaining_text;
  std::vector<IniError>& m_errors;
  IniDocument m_document;
  std::size_t m_line = 0;
  bool m_is_continuation = false;
};

}  // namespace

std::string IniError::ToString() const {
  std::string text = file + ":" + std::to_string(line) + ":";
  if (!section.empty()) {
    text += " [" + section + "]";
  }
  if (!key.empty()) {
    text += " " + key;
  }
  return text + ": " + description;
}

IniDocument ParseIni(std::string_view text, std::string file,
                     std::vector<IniError>& errors) {
  return LineCountingParser(text, std::move(file), errors).Parse();
}

}  // namespace bambooquay
