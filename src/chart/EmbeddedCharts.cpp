#include "chart/Chart.h"

#include <utility>

// The assembler's .incbin puts the chart files into the binary, so that a
// process needs no file beside its settings.
#define CROCUSLEAD_EMBED(Symbol, Path)                                         \
  __asm__(".section .rodata\n"                                                 \
          ".global " #Symbol "Begin\n" #Symbol "Begin:\n"                      \
          ".incbin \"" Path "\"\n"                                             \
          ".global " #Symbol "End\n" #Symbol "End:\n"                          \
          ".byte 0\n"                                                          \
          ".previous\n");                                                      \
  extern "C" const char Symbol##Begin[];                                       \
  extern "C" const char Symbol##End[]

CROCUSLEAD_EMBED(crocusleadChartTask, "charts/task.yaml");
CROCUSLEAD_EMBED(crocusleadChartPartitionLease, "charts/partition_lease.yaml");
CROCUSLEAD_EMBED(crocusleadChartRequest, "charts/request.yaml");
CROCUSLEAD_EMBED(crocusleadChartUpstream, "charts/upstream.yaml");

namespace crocuslead::chart {

namespace {

struct EmbeddedFile {
  std::string_view Name_;
  const char *Begin_;
  const char *End_;
};

const EmbeddedFile Files[] = {
    {"task", crocusleadChartTaskBegin, crocusleadChartTaskEnd},
    {"partition_lease", crocusleadChartPartitionLeaseBegin,
     crocusleadChartPartitionLeaseEnd},
    {"request", crocusleadChartRequestBegin, crocusleadChartRequestEnd},
    {"upstream", crocusleadChartUpstreamBegin, crocusleadChartUpstreamEnd},
};

} // namespace

std::string_view embeddedChart(std::string_view Name) {
  for (const EmbeddedFile &File : Files)
    if (File.Name_ == Name)
      return {File.Begin_, static_cast<std::size_t>(File.End_ - File.Begin_)};
  return {};
}

} // namespace crocuslead::chart
