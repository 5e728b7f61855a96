#include "log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <boost/json.hpp>
#include <memory>
#include <sstream>

#include "bounded_appender.h"

namespace mimosabend {

namespace {

constexpr char kLogfmtPattern[] = "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p process=";
constexpr char kTextPattern[] = "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p ";

log4cplus::LogLevel ToLog4cplusLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

// Formats each event as a JSON object on one line.
class JsonLayout : public log4cplus::Layout {
 public:
  explicit JsonLayout(std::string process_name) : process_name_(std::move(process_name)) {}

  void formatAndAppend(log4cplus::tostream& output,
                       const log4cplus::spi::InternalLoggingEvent& event) override {
    boost::json::object line;
    line["time_ms"] = ToUnixMillis(event.getTimestamp());
    line["level"] = log4cplus::getLogLevelManager().toString(event.getLogLevel());
    line["process"] = process_name_;
    line["message"] = event.getMessage();
    output << boost::json::serialize(line) << '\n';
  }

 private:
  std::string process_name_;
};

// A pattern layout whose lines hold no control characters of what was logged.
class OneLineLayout : public log4cplus::PatternLayout {
 public:
  using PatternLayout::PatternLayout;

  void formatAndAppend(log4cplus::tostream& output,
                       const log4cplus::spi::InternalLoggingEvent& event) override {
    std::ostringstream line;
    PatternLayout::formatAndAppend(line, event);
    std::string text = line.str();
    text.pop_back();
    output << EscapeControlCharacters(text) << '\n';
  }
};

}  // namespace

std::string EscapeControlCharacters(std::string_view text) {
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr unsigned char kDelete = 0x7f;
  std::string escaped;
  escaped.reserve(text.size());
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= ' ' && byte != kDelete) {
      escaped += c;
      continue;
    }
    escaped += "\\x";
    escaped += kDigits[byte / 16];
    escaped += kDigits[byte % 16];
  }
  return escaped;
}

void SetUpLog(const LogSettings& settings, const std::string& process_name) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr appender;
  if (settings.to_standard_output) {
    appender = new BoundedAppender();
  } else {
    appender = new log4cplus::ConsoleAppender(true, true);
  }
  if (settings.format == LogFormat::kJson) {
    appender->setLayout(std::make_unique<JsonLayout>(process_name));
  } else if (settings.format == LogFormat::kLogfmt) {
    appender->setLayout(std::make_unique<OneLineLayout>(kLogfmtPattern + process_name + " %m%n"));
  } else {
    appender->setLayout(std::make_unique<OneLineLayout>(kTextPattern + process_name + ": %m%n"));
  }
  log4cplus::Logger logger = log4cplus::Logger::getInstance("mimosabend");
  logger.addAppender(appender);
  logger.setLogLevel(ToLog4cplusLevel(settings.level));
  logger.setAdditivity(false);
}

const log4cplus::Logger& Log() {
  static const log4cplus::Logger logger = log4cplus::Logger::getInstance("mimosabend");
  return logger;
}

}  // namespace mimosabend
