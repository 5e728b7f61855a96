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

// Helpers shared by the parsers of settings files.

using SectionReader = std::function<void(IniSection*)>;

// Parses `text` and passes each section to the reader registered under its name. A missing section
// is passed as empty, so that its required keys are reported. Unknown sections and keys are issues.
// `overrides` are "section.key=value". Returns all issues. Thread-safe if the readers are.
IniIssues ReadSections(const std::string& file, std::string_view text,
                       const std::vector<std::string>& overrides,
                       const std::vector<std::pair<std::string, SectionReader>>& readers);

// Reads an "IP:PORT". A missing or invalid value is an issue and gives an empty address.
Address ReadAddress(IniSection* section, const std::string& key);

// Reads the keys `level` and `format` of the log section.
LogSettings ReadLogSettings(IniSection* section);

}  // namespace mimosabend

#endif  // MIMOSABEND_SETTINGS_READER_H_
