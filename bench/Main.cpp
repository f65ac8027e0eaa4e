#include "Figures.h"

#include "base/Log.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace crocuslead::bench {

namespace {

struct Area {
  const char *Name_;
  void (*Run_)();
};

constexpr Area Areas[] = {{"schedule", scheduleFigures},
                          {"partition", partitionFigures},
                          {"coordinator", coordinatorFigures},
                          {"route", routeFigures},
                          {"fleet", fleetFigures}};

} // namespace

void emit(const Figure &Value) {
  std::string Line = "{\"name\":" + base::jsonQuote(Value.Name_);
  auto Number = [](double Input) {
    char Buffer[40];
    std::snprintf(Buffer, sizeof(Buffer), "%.6g", Input);
    return std::string(Buffer);
  };
  Line += ",\"value\":" + Number(Value.Value_);
  Line += ",\"unit\":" + base::jsonQuote(Value.Unit_);
  Line += ",\"target\":" + (Value.Target_ ? Number(*Value.Target_) : "null");
  Line += ",\"better\":\"";
  Line += Value.Better_ == Better::Lower ? "lower\"" : "higher\"";
  if (Value.Baseline_) {
    Line += ",\"baseline\":" + Number(*Value.Baseline_);
    Line += ",\"baseline_name\":" + base::jsonQuote(Value.BaselineName_);
  }
  std::puts((Line + "}").c_str());
  std::fflush(stdout);
}

} // namespace crocuslead::bench

// With area names as arguments, measures only those areas;
// `load URL CONCURRENCY COUNT` sends HTTP requests instead.
int main(int Argc, char **Argv) {
  if (Argc == 5 && std::strcmp(Argv[1], "load") == 0)
    return crocuslead::bench::runLoadClient(Argv[2], std::atoi(Argv[3]),
                                            std::atoi(Argv[4]))
               ? 0
               : 1;
  for (const auto &Area : crocuslead::bench::Areas) {
    bool Wanted = Argc == 1;
    for (int I = 1; I < Argc; ++I)
      Wanted = Wanted || std::strcmp(Argv[I], Area.Name_) == 0;
    if (Wanted)
      Area.Run_();
  }
  return 0;
}
