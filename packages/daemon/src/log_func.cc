/**
 * @file log_func.cc
 * Set-up of log4cxx.
 */
#include "daemon/log_func.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace boragewharf::daemon {

namespace {

log4cxx::LoggerPtr Log() {
  static const log4cxx::LoggerPtr kLogger =
      log4cxx::Logger::getLogger("boragewharf");
  return kLogger;
}

log4cxx::LevelPtr ToLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

log4cxx::AppenderPtr MakeAppender(const LogSettings& settings) {
  const auto layout =
      std::make_shared<log4cxx::PatternLayout>("%d{ISO8601} %-5p %m%n");
  if (!settings.file.empty()) {
    return std::make_shared<log4cxx::FileAppender>(layout, settings.file, true);
  }
  return std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
}

}  // namespace

void ConfigureLog(const LogSettings& settings) {
  const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(MakeAppender(settings));
  root->setLevel(ToLevel(settings.level));
}

void LogStateChange(const std::string& text) {
  LOG4CXX_INFO(Log(), text);
}

void LogFault(const std::string& text) {
  LOG4CXX_ERROR(Log(), text);
}

}  // namespace boragewharf::daemon
