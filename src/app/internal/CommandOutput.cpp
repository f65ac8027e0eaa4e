#include "app/internal/CommandOutput.h"

#include "app/CommandLine.h"

#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

namespace crocuslead::app {

using nlohmann::json;

int printAnswer(const CallAnswer &Answer) {
  if (Answer.Status_ == 0) {
    std::cerr << "crocuslead: " << Answer.Body_ << "\n";
    return static_cast<int>(ExitCode::Unreachable);
  }
  json Body = json::parse(Answer.Body_, nullptr, false);
  constexpr int FirstFailure = 300;
  if (Answer.Status_ < FirstFailure) {
    std::cout << (Body.is_discarded() ? Answer.Body_ : Body.dump(2)) << "\n";
    return static_cast<int>(ExitCode::Success);
  }
  std::string Kind = "refused";
  std::string Message = Answer.Body_;
  if (Body.is_object()) {
    Kind = Body.value("error", Kind);
    Message = Body.value("message", Message);
  }
  std::cerr << "crocuslead: " << Kind << ": " << Message << "\n";
  return static_cast<int>(ExitCode::Refused);
}

int printSettlement(const std::string &Json) {
  json Body = json::parse(Json, nullptr, false);
  constexpr double MillisPerHour = 3'600'000;
  std::printf("%-8s %-24s %14s %14s %14s %14s %14s %9s\n", "period",
              "workspace", "granted core-h", "held core-h", "used core-h",
              "estimated", "excess core-h", "evictions");
  for (const json &Row : Body["rows"]) {
    auto Hours = [&Row](const char *Field) {
      return Row.value(Field, 0.0) / MillisPerHour;
    };
    std::printf("%-8s %-24s %14.4f %14.4f %14.4f %14.4f %14.4f %9d\n",
                Row.value("period", "").c_str(),
                Row.value("workspace", "").c_str(), Hours("granted_cpu_ms"),
                Hours("held_cpu_ms"), Hours("used_cpu_ms"),
                Hours("estimated_cpu_ms"), Hours("excess_cpu_ms"),
                Row.value("evictions", 0));
  }
  for (const json &Partition : Body["partitions_missing"])
    std::cerr << "crocuslead: partition " << Partition
              << " did not answer; the table is incomplete\n";
  return static_cast<int>(Body["partitions_missing"].empty()
                              ? ExitCode::Success
                              : ExitCode::Refused);
}

} // namespace crocuslead::app
