#include "ini_file.h"

#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <set>

namespace mimosabend {

namespace {

// inih silently truncates longer names, so the parser rejects them.
constexpr std::size_t kMaxNameLength = 48;
constexpr int kMaxLineLength = 8192;

struct ParseState {
  std::string_view remaining;
  int line = 0;
  int overlong_line = 0;
  std::vector<IniEntry> entries;
};

// Reader with the signature of fgets. Counts lines, because inih does not pass them to the handler.
char* ReadLine(char* buffer, int size, void* stream) {
  auto* state = static_cast<ParseState*>(stream);
  if (state->remaining.empty()) return nullptr;
  ++state->line;
  const std::size_t end = state->remaining.find('\n');
  const std::size_t length = end == std::string_view::npos ? state->remaining.size() : end + 1;
  const std::size_t copy_length = std::min(length, static_cast<std::size_t>(size) - 1);
  if (copy_length < length && state->overlong_line == 0) state->overlong_line = state->line;
  std::memcpy(buffer, state->remaining.data(), copy_length);
  buffer[copy_length] = '\0';
  state->remaining.remove_prefix(length);
  return buffer;
}

int HandleEntry(void* user, const char* section, const char* name, const char* value) {
  auto* state = static_cast<ParseState*>(user);
  state->entries.push_back({section, name, value == nullptr ? "" : value, state->line});
  return 1;
}

std::string_view Trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(" \t\r");
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

}  // namespace

std::string IniIssue::Format() const {
  std::string text = file + ":" + std::to_string(line) + ": ";
  if (!section.empty()) text += "[" + section + "] ";
  if (!key.empty()) text += key + ": ";
  text += message;
  if (!remedy.empty()) text += " (" + remedy + ")";
  return text;
}

Result<std::vector<IniEntry>, IniIssues> ParseIni(const std::string& file, std::string_view text) {
  ini_allow_multiline = false;
  // inih uses the smaller of the two lengths, since the buffer does not grow.
  ini_use_stack = false;
  ini_max_line = kMaxLineLength;
  ini_initial_alloc = kMaxLineLength;
  if (text.find('\0') != std::string_view::npos) {
    return outcome::failure(
        IniIssues{{file, 0, "", "", "the file contains a NUL byte", "save it as plain text"}});
  }
  ParseState state;
  state.remaining = text;
  const int bad_line = ini_parse_stream(ReadLine, &state, HandleEntry, &state);
  IniIssues issues;
  if (state.overlong_line != 0) {
    issues.push_back({file, state.overlong_line, "", "", "the line is too long",
                      "keep lines below " + std::to_string(kMaxLineLength) + " bytes"});
  }
  if (bad_line != 0) {
    issues.push_back({file, bad_line, "", "", "not a section, a 'key = value' line or a comment",
                      "write '[section]', 'key = value' or start the line with ';'"});
  }
  for (const IniEntry& entry : state.entries) {
    if (entry.section.size() > kMaxNameLength || entry.key.size() > kMaxNameLength) {
      issues.push_back({file, entry.line, entry.section, entry.key, "the name is too long",
                        "use at most " + std::to_string(kMaxNameLength) + " characters"});
    }
    if (entry.section.empty()) {
      issues.push_back({file, entry.line, "", entry.key, "the key stands before any section",
                        "put it under a '[section]' line"});
    }
  }
  if (!issues.empty()) return outcome::failure(std::move(issues));
  return std::move(state.entries);
}

std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view item = Trim(text.substr(0, comma));
    if (!item.empty()) items.emplace_back(item);
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return items;
}

void IniSection::Add(const IniEntry& entry) {
  if (line_ == 0) line_ = entry.line;
  const auto [it, inserted] = values_.try_emplace(entry.key, Value{entry.value, entry.line, false});
  if (!inserted) {
    issues_->push_back({file_, entry.line, name_, entry.key, "the key stands twice",
                        "remove it here or at line " + std::to_string(it->second.line)});
  }
}

void IniSection::Override(const std::string& key, const std::string& value) {
  values_[key].text = value;
}

const IniSection::Value* IniSection::Find(const std::string& key) {
  const auto it = values_.find(key);
  if (it == values_.end()) return nullptr;
  it->second.read = true;
  return &it->second;
}

std::string IniSection::Text(const std::string& key, const std::optional<std::string>& fallback) {
  const Value* value = Find(key);
  if (value != nullptr && !value->text.empty()) return value->text;
  if (fallback) return *fallback;
  Report(key, "a value is missing", "add '" + key + " = ...' to this section");
  return {};
}

std::vector<std::string> IniSection::List(const std::string& key) {
  return SplitList(Text(key, ""));
}

std::int64_t IniSection::Integer(const std::string& key, std::int64_t low, std::int64_t high,
                                 std::optional<std::int64_t> fallback) {
  const std::string text =
      Text(key, fallback ? std::optional(std::to_string(*fallback)) : std::nullopt);
  if (text.empty()) return low;
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() || number < low || number > high) {
    Report(key, "'" + text + "' is not a whole number in range",
           "use " + std::to_string(low) + " to " + std::to_string(high));
    return low;
  }
  return number;
}

double IniSection::Number(const std::string& key, double low, double high,
                          std::optional<double> fallback) {
  const Value* value = Find(key);
  if ((value == nullptr || value->text.empty()) && fallback) return *fallback;
  const std::string text = Text(key);
  if (text.empty()) return low;
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size() ||
      !(number >= low && number <= high)) {
    Report(key, "'" + text + "' is not a number in range",
           "use " + std::to_string(low) + " to " + std::to_string(high));
    return low;
  }
  return number;
}

bool IniSection::Flag(const std::string& key, std::optional<bool> fallback) {
  const std::string text =
      Text(key, fallback ? std::optional<std::string>(*fallback ? "true" : "false") : std::nullopt);
  if (text != "true" && text != "false" && !text.empty()) {
    Report(key, "'" + text + "' is neither true nor false", "use true or false");
  }
  return text == "true";
}

void IniSection::Report(const std::string& key, const std::string& message,
                        const std::string& remedy) {
  const auto it = values_.find(key);
  const int line = it != values_.end() && it->second.line != 0 ? it->second.line : line_;
  issues_->push_back({file_, line, name_, key, message, remedy});
}

void IniSection::ReportUnknownKeys() {
  for (const auto& [key, value] : values_) {
    if (!value.read) Report(key, "unknown key", "remove it or correct its spelling");
  }
}

std::vector<IniSection> GroupSections(const std::string& file, const std::vector<IniEntry>& entries,
                                      IniIssues* issues) {
  std::vector<IniSection> sections;
  std::map<std::string, std::size_t> index;
  for (const IniEntry& entry : entries) {
    const auto [it, inserted] = index.try_emplace(entry.section, sections.size());
    if (inserted) sections.emplace_back(file, entry.section, issues);
    sections[it->second].Add(entry);
  }
  return sections;
}

}  // namespace mimosabend
