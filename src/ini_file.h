#ifndef MIMOSABEND_INI_FILE_H_
#define MIMOSABEND_INI_FILE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "result.h"

namespace mimosabend {

// A fault in an INI file, precise enough to be mended without reading the code.
struct IniIssue {
  std::string file;
  int line = 0;
  std::string section;
  std::string key;
  std::string message;
  std::string remedy;

  // "file:line: [section] key: message (remedy)". Thread-safe.
  std::string Format() const;
};

using IniIssues = std::vector<IniIssue>;

struct IniEntry {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;
};

// Splits INI text into entries. Reports syntax errors and names that are too long. Thread-safe.
Result<std::vector<IniEntry>, IniIssues> ParseIni(const std::string& file, std::string_view text);

// Splits a list at commas and trims its items; empty items are dropped. Thread-safe.
std::vector<std::string> SplitList(std::string_view text);

// Reads the keys of one section. Each key read counts as known; what is left is unknown.
// Not thread-safe.
class IniSection {
 public:
  IniSection(std::string file, std::string name, IniIssues* issues)
      : file_(std::move(file)), name_(std::move(name)), issues_(issues) {}

  const std::string& name() const { return name_; }
  int line() const { return line_; }

  // Reports a key that stands twice. Precondition: `entry.section` is this section.
  void Add(const IniEntry& entry);

  // Overwrites or adds a value, as a command-line override does.
  void Override(const std::string& key, const std::string& value);

  // Text; a missing key is an issue unless a default is given.
  std::string Text(const std::string& key,
                   const std::optional<std::string>& fallback = std::nullopt);
  std::vector<std::string> List(const std::string& key);
  // A whole number within [low, high].
  std::int64_t Integer(const std::string& key, std::int64_t low, std::int64_t high,
                       std::optional<std::int64_t> fallback = std::nullopt);
  // A number within [low, high].
  double Number(const std::string& key, double low, double high,
                std::optional<double> fallback = std::nullopt);
  bool Flag(const std::string& key, std::optional<bool> fallback = std::nullopt);
  // An enumerator by name. `table` is a NameTable.
  template <class Enum, class Table>
  Enum Choice(const std::string& key, const Table& table, Enum fallback) {
    const std::string text = Text(key, std::string(table[fallback]));
    const std::optional<Enum> value = table.Find(text);
    if (!value) Report(key, "unknown value '" + text + "'", "use one of: " + table.List());
    return value.value_or(fallback);
  }

  // Adds an issue at the line of `key`, or of the section if it has no such key.
  void Report(const std::string& key, const std::string& message, const std::string& remedy);

  // Reports each key that was not read.
  void ReportUnknownKeys();

 private:
  struct Value {
    std::string text;
    int line = 0;
    bool read = false;
  };

  const Value* Find(const std::string& key);

  std::string file_;
  std::string name_;
  IniIssues* issues_;
  int line_ = 0;
  std::map<std::string, Value> values_;
};

// Groups entries by section, in order of appearance. Issues go to `issues`. Thread-safe.
std::vector<IniSection> GroupSections(const std::string& file, const std::vector<IniEntry>& entries,
                                      IniIssues* issues);

}  // namespace mimosabend

#endif  // MIMOSABEND_INI_FILE_H_
