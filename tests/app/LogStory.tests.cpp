#include "app/LogStory.h"

#include <doctest/doctest.h>
#include <sstream>

namespace crocuslead::app {

namespace {

std::string storyOf(const std::string &Id) {
  std::istringstream Logs(
      R"({"ts_ms":30,"instance":"b","event":"task-run-ended","task":"j.0.0.1","worker":"w1","how":"failed"}
not a log line
  3.1 a {"ts_ms":10,"instance":"a","event":"job-write","job":"j","call":"submit","outcome":"done"}
{"ts_ms":20,"instance":"b","event":"task-start","task":"j.0.0.1","run":1,"worker":"w1"}
{"ts_ms":21,"instance":"b","event":"task-start","task":"jj.0.0.1","run":1,"worker":"w1"}
{"ts_ms":25,"instance":"b","event":"worker-unreachable","worker":"w1"}
{"ts_ms":26,"instance":"b","event":"worker-unreachable","worker":"w2"}
{"ts_ms":27,"instance":"c","event":"office-won","term":2}
{"ts_ms":40,"instance":"c","event":"job-ended","job":"j","state":"failed","reason":"attempts-used-up"}
{"ts_ms":50,"instance":"c","event":"office-won","term":3}
{"ts_ms":"x","event":"broken"}
)");
  return logStory(Logs, Id);
}

} // namespace

TEST_CASE("A job's story joins the logs of all instances in order") {
  CHECK(storyOf("j") ==
        "10 a job-write call=submit job=j outcome=done\n"
        "20 b task-start run=1 task=j.0.0.1 worker=w1\n"
        "25 b worker-unreachable worker=w1\n"
        "27 c office-won term=2\n"
        "30 b task-run-ended how=failed task=j.0.0.1 worker=w1\n"
        "40 c job-ended job=j reason=attempts-used-up state=failed\n");
}

TEST_CASE("A task's story leaves other tasks out") {
  CHECK(storyOf("j.0.0.1").find("job-ended") == std::string::npos);
  CHECK(storyOf("j.0.0.1").find("task-start") != std::string::npos);
  CHECK(storyOf("unknown").empty());
}

} // namespace crocuslead::app
