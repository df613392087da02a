#include "node/operators/log.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <json/value.h>
#include <json/writer.h>
#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>

namespace siskinstage {

namespace {

/// Set by startLog().
struct LogSetup {
  LogFormat Format = LogFormat::KeyValue;
  std::string Node;
};

LogSetup &setup() {
  static LogSetup Setup;
  return Setup;
}

const char *levelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warn:
    return "warn";
  case LogLevel::Error:
    return "error";
  }
  return "info";
}

log4cplus::LogLevel libraryLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case LogLevel::Warn:
    return log4cplus::WARN_LOG_LEVEL;
  case LogLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

std::string quoted(const std::string &Text) {
  return Json::valueToQuotedString(Text.c_str());
}

std::string jsonLine(const std::vector<LogField> &Fields) {
  Json::Value Event(Json::objectValue);
  for (const auto &[Name, Value] : Fields)
    Event[Name] = Value;
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  return Json::writeString(Writer, Event);
}

std::string keyValueLine(const std::vector<LogField> &Fields) {
  std::string Line;
  for (const auto &[Name, Value] : Fields) {
    const bool Plain =
        !Value.empty() && Value.find_first_of(" \"=\n\t") == std::string::npos;
    Line += (Line.empty() ? "" : " ") + std::string(Name) + "=" +
            (Plain ? Value : quoted(Value));
  }
  return Line;
}

} // namespace

std::string formatEvent(LogFormat Format, LogLevel Level,
                        const std::string &Time, const std::string &Node,
                        const std::string &Message,
                        const std::vector<LogField> &Fields) {
  std::vector<LogField> All = {{"time", Time},
                               {"level", levelName(Level)},
                               {"node", Node},
                               {"message", Message}};
  All.insert(All.end(), Fields.begin(), Fields.end());
  return Format == LogFormat::Json ? jsonLine(All) : keyValueLine(All);
}

void startLog(LogLevel MinLevel, LogFormat Format, const std::string &Node) {
  static log4cplus::Initializer Initializer;
  // log4cplus' own threads write nothing, so one is enough.
  log4cplus::setThreadPoolSize(1);
  setup() = {Format, Node};
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  Root.addAppender(Appender);
  Root.setLogLevel(libraryLevel(MinLevel));
}

void logEvent(LogLevel Level, const std::string &Message,
              const std::vector<LogField> &Fields) {
  static log4cplus::Logger Logger =
      log4cplus::Logger::getInstance("siskinstaged");
  if (!Logger.isEnabledFor(libraryLevel(Level)))
    return;
  const std::string Time = Poco::DateTimeFormatter::format(
      Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
  const std::string Line =
      formatEvent(setup().Format, Level, Time, setup().Node, Message, Fields);
  Logger.forcedLog(libraryLevel(Level), Line);
}

void logError(LogLevel Level, const std::string &Message, const Error &Fault) {
  logEvent(Level, Message,
           {{"step", stepName(Fault.FailedStep)},
            {"peer", Fault.Peer},
            {"reason", Fault.Reason}});
}

} // namespace siskinstage
