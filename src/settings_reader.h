#ifndef MIMOSABEND_SETTINGS_READER_H_
#define MIMOSABEND_SETTINGS_READER_H_

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ini_file.h"
#include "settings.h"

namespace mimosabend {

using SectionReader = std::function<void(IniSection*)>;

// Reads each section with the reader of its name; sections that are absent are read as empty, so
// that their required keys are reported. `overrides` are "section.key=value". Thread-safe.
IniIssues ReadSections(const std::string& file, std::string_view text,
                       const std::vector<std::string>& overrides,
                       const std::vector<std::pair<std::string, SectionReader>>& readers);

// Reads an "IP:PORT"; a value that is none is an issue.
Address ReadAddress(IniSection* section, const std::string& key);

// Reads the section of log settings.
LogSettings ReadLog(IniSection* section);

}  // namespace mimosabend

#endif  // MIMOSABEND_SETTINGS_READER_H_
