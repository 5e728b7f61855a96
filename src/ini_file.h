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

// An error in an INI file, with its position and how to correct it.
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

// Parses INI text into entries in file order. Fails with all syntax errors, names that are too long
// and keys outside a section. `file` only names the source in issues. Thread-safe.
Result<std::vector<IniEntry>, IniIssues> ParseIni(const std::string& file, std::string_view text);

// Splits a comma-separated list and trims its items. Drops empty items. Thread-safe.
std::vector<std::string> SplitList(std::string_view text);

// The keys of one section, read by typed accessors. An accessor adds an issue for a missing or
// invalid value and marks its key as known, so that ReportUnknownKeys() finds the others. `issues`
// must outlive the section. Not thread-safe.
class IniSection {
 public:
  IniSection(std::string file, std::string name, IniIssues* issues)
      : file_(std::move(file)), name_(std::move(name)), issues_(issues) {}

  const std::string& name() const { return name_; }
  int line() const { return line_; }

  // Adds a key; a duplicate is an issue, and its first value stays. Precondition: `entry.section`
  // is this section.
  void Add(const IniEntry& entry);

  // Sets a value from a command-line override, whether or not the file has the key.
  void Override(const std::string& key, const std::string& value);

  // A missing or empty value is an issue unless `fallback` is given.
  std::string Text(const std::string& key,
                   const std::optional<std::string>& fallback = std::nullopt);
  std::vector<std::string> List(const std::string& key);
  // A whole number within [low, high]. Returns `low` after adding an issue.
  std::int64_t Integer(const std::string& key, std::int64_t low, std::int64_t high,
                       std::optional<std::int64_t> fallback = std::nullopt);
  // A number within [low, high]. Returns `low` after adding an issue.
  double Number(const std::string& key, double low, double high,
                std::optional<double> fallback = std::nullopt);
  bool Flag(const std::string& key, std::optional<bool> fallback = std::nullopt);
  // An enumerator by name; an unknown name is an issue and gives `fallback`. `table` is a
  // NameTable.
  template <class Enum, class Table>
  Enum Choice(const std::string& key, const Table& table, Enum fallback) {
    const std::string text = Text(key, std::string(table[fallback]));
    const std::optional<Enum> value = table.Find(text);
    if (!value) Report(key, "unknown value '" + text + "'", "use one of: " + table.List());
    return value.value_or(fallback);
  }

  // Adds an issue at the line of `key`, or of the section if the file has no such key.
  void Report(const std::string& key, const std::string& message, const std::string& remedy);

  // Adds an issue for each key that no accessor has read.
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

// Groups entries by section, in order of appearance. Adds duplicate keys to `issues`. Thread-safe.
std::vector<IniSection> GroupSections(const std::string& file, const std::vector<IniEntry>& entries,
                                      IniIssues* issues);

}  // namespace mimosabend

#endif  // MIMOSABEND_INI_FILE_H_
