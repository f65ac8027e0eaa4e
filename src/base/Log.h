#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace crocuslead::base {

enum class LogLevel : uint8_t { Debug, Info, Warn, Error };

//! One named value of a log event.
struct LogField {
  std::string_view Name_;
  std::variant<int64_t, double, bool, std::string> Value_;

  LogField(std::string_view Name, int64_t Value) : Name_(Name), Value_(Value) {}
  LogField(std::string_view Name, int Value)
      : Name_(Name), Value_(int64_t{Value}) {}
  LogField(std::string_view Name, uint64_t Value)
      : Name_(Name), Value_(static_cast<int64_t>(Value)) {}
  LogField(std::string_view Name, double Value) : Name_(Name), Value_(Value) {}
  LogField(std::string_view Name, bool Value) : Name_(Name), Value_(Value) {}
  LogField(std::string_view Name, std::string Value)
      : Name_(Name), Value_(std::move(Value)) {}
  LogField(std::string_view Name, std::string_view Value)
      : Name_(Name), Value_(std::string(Value)) {}
  LogField(std::string_view Name, const char *Value)
      : Name_(Name), Value_(std::string(Value)) {}
};

//! Sends log events to standard output as JSON lines, through log4cplus. The
//! volume is bounded, and an event that could not be written without blocking
//! is dropped; the number of dropped ones is logged once there is room.
void configureLog(LogLevel Threshold, std::string Instance);

//! Keeps lines below the level of a warning until flushLog(); off at first. For
//! event loops, which flush once in each tick.
void batchLog(bool On);
//! Writes out what is kept, as far as that does not block.
void flushLog();

//! Writes one event. Event names are stable: operators build alarms on them.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

//! Writes Text as a JSON string with quotes.
std::string jsonQuote(std::string_view Text);

} // namespace crocuslead::base
