#include "base/Log.h"

#include "base/LogBudget.h"
#include "base/LogBuffer.h"

#include <chrono>
#include <cstdio>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <memory>
#include <unistd.h>

namespace crocuslead::base {

namespace {

std::string &instanceName() {
  static std::string Name;
  return Name;
}

log4cplus::Logger &rootLogger() {
  static log4cplus::Initializer Init;
  static log4cplus::Logger Root = log4cplus::Logger::getRoot();
  return Root;
}

constexpr log4cplus::LogLevel Levels[] = {
    log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
    log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
constexpr std::string_view LevelNames[] = {"debug", "info", "warn", "error"};

struct ValueWriter {
  std::string &Out_;
  void operator()(int64_t Value) const { Out_ += std::to_string(Value); }
  void operator()(double Value) const {
    char Buffer[32];
    std::snprintf(Buffer, sizeof(Buffer), "%.6g", Value);
    Out_ += Buffer;
  }
  void operator()(bool Value) const { Out_ += Value ? "true" : "false"; }
  void operator()(const std::string &Value) const { Out_ += jsonQuote(Value); }
};

int64_t unixMillis() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
}

// About twice what a coordinator writes at 350 task starts a second.
constexpr double LinesPerSecond = 1500;
constexpr double BurstLines = 5000;

LogBudget &budget() {
  static LogBudget Budget(LinesPerSecond, BurstLines);
  return Budget;
}

// A second of lines at the highest rate.
constexpr std::size_t MaxBufferedBytes = 512U << 10U;

LogBuffer &buffer() {
  static LogBuffer Buffer(STDOUT_FILENO, MaxBufferedBytes);
  return Buffer;
}

bool &batching() {
  static bool Batching = false;
  return Batching;
}

//! Hands formatted lines to the buffer. An event loop has one thread, so the
//! buffer needs no lock besides log4cplus's own.
class BufferAppender final : public log4cplus::Appender {
public:
  ~BufferAppender() override { destructorImpl(); }
  void close() override { closed = true; }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    if (!buffer().append(formatEvent(Event)))
      budget().drop();
    // What explains a failure is not left behind in a process that dies.
    if (!batching() || Event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL)
      buffer().flush();
  }
};

std::string lineStart(std::string_view Level, std::string_view Event) {
  return "{\"ts_ms\":" + std::to_string(unixMillis()) +
         ",\"level\":" + jsonQuote(Level) +
         ",\"instance\":" + jsonQuote(instanceName()) +
         ",\"event\":" + jsonQuote(Event);
}

} // namespace

std::string jsonQuote(std::string_view Text) {
  std::string Out = "\"";
  for (char C : Text) {
    auto Byte = static_cast<unsigned char>(C);
    if (C == '"' || C == '\\') {
      Out += '\\';
      Out += C;
    } else if (Byte < 0x20) {
      char Buffer[8];
      std::snprintf(Buffer, sizeof(Buffer), "\\u%04x",
                    static_cast<unsigned>(Byte));
      Out += Buffer;
    } else {
      Out += C;
    }
  }
  return Out + '"';
}

void configureLog(LogLevel Threshold, std::string Instance) {
  instanceName() = std::move(Instance);
  log4cplus::Logger &Root = rootLogger();
  Root.removeAllAppenders();
  log4cplus::SharedAppenderPtr Output(new BufferAppender);
  Output->setLayout(
      std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
  Root.addAppender(Output);
  Root.setLogLevel(Levels[static_cast<int>(Threshold)]);
}

void batchLog(bool On) {
  batching() = On;
  flushLog();
}

void flushLog() { buffer().flush(); }

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  log4cplus::Logger &Root = rootLogger();
  log4cplus::LogLevel Target = Levels[static_cast<int>(Level)];
  if (!Root.isEnabledFor(Target))
    return;
  TimePoint Now = SystemClock().now();
  if (!budget().take(Now, Level >= LogLevel::Warn))
    return;
  if (uint64_t Dropped = budget().takeDropped(Now))
    Root.log(log4cplus::WARN_LOG_LEVEL,
             lineStart("warn", "log-lines-dropped") +
                 ",\"lines\":" + std::to_string(Dropped) + "}");
  std::string Line = lineStart(LevelNames[static_cast<int>(Level)], Event);
  for (const LogField &Field : Fields) {
    Line += "," + jsonQuote(Field.Name_) + ":";
    std::visit(ValueWriter{Line}, Field.Value_);
  }
  Line += "}";
  Root.log(Target, Line);
}

} // namespace crocuslead::base
