#include "app/JobJson.h"

#include "base/NameTable.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace crocuslead::app {

namespace {

using nlohmann::json;
using partition::JobSpec;

constexpr std::size_t MaxNameLength = 63;
constexpr int64_t MaxTasks = 10'000;
constexpr int64_t MaxMilliCpu = 1'000'000;
constexpr int64_t MaxMemoryMb = 100'000'000;
constexpr int64_t MaxAccelerators = 1'000;
constexpr int64_t MaxRunTimeMs = 90LL * 24 * 3600 * 1000;

constexpr auto ClassNames = base::makeNameTable<schedule::TaskClass>(
    {{schedule::TaskClass::LatencyCritical, "latency-critical"},
     {schedule::TaskClass::Batch, "batch"}});

constexpr auto StateNames = base::makeNameTable<partition::JobState>(
    {{partition::JobState::Pending, "pending"},
     {partition::JobState::Running, "running"},
     {partition::JobState::Finished, "finished"},
     {partition::JobState::Cancelled, "cancelled"},
     {partition::JobState::Rejected, "rejected"},
     {partition::JobState::Transferred, "transferred"}});

struct TextField {
  const char *Name_;
  std::string JobSpec::*Target_;
  bool Required_;
};

struct FlagField {
  const char *Name_;
  bool JobSpec::*Target_;
};

struct NumberField {
  const char *Name_;
  int64_t Lowest_;
  int64_t Highest_;
  void (*Set_)(JobSpec &, int64_t);
  int64_t (*Get_)(const JobSpec &);
};

constexpr TextField TextFields[] = {
    {"id", &JobSpec::Id_, true},
    {"workspace", &JobSpec::Workspace_, true},
    {"kind", &JobSpec::Kind_, false},
};

constexpr FlagField FlagFields[] = {
    {"urgent", &JobSpec::Urgent_},
    {"deferrable", &JobSpec::Deferrable_},
    {"gang", &JobSpec::Gang_},
};

constexpr NumberField NumberFields[] = {
    {"tasks", 1, MaxTasks,
     [](JobSpec &Job, int64_t Value) {
       Job.TaskCount_ = static_cast<uint32_t>(Value);
     },
     [](const JobSpec &Job) { return int64_t{Job.TaskCount_}; }},
    {"cpu_milli", 1, MaxMilliCpu,
     [](JobSpec &Job, int64_t Value) { Job.PerTask_.MilliCpu_ = Value; },
     [](const JobSpec &Job) { return Job.PerTask_.MilliCpu_; }},
    {"memory_mb", 1, MaxMemoryMb,
     [](JobSpec &Job, int64_t Value) { Job.PerTask_.MemoryMb_ = Value; },
     [](const JobSpec &Job) { return Job.PerTask_.MemoryMb_; }},
    {"accelerators", 0, MaxAccelerators,
     [](JobSpec &Job, int64_t Value) { Job.PerTask_.Accelerators_ = Value; },
     [](const JobSpec &Job) { return Job.PerTask_.Accelerators_; }},
    {"run_time_ms", 0, MaxRunTimeMs,
     [](JobSpec &Job, int64_t Value) { Job.RunTimeMs_ = Value; },
     [](const JobSpec &Job) { return Job.RunTimeMs_; }},
};

boost::leaf::error_id fieldError(const std::string &Field,
                                 const std::string &Allowed) {
  return base::fail(base::ErrorKind::InvalidRequest,
                    "job: field '" + Field + "': allowed: " + Allowed);
}

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '-' || C == '_' || C == '.' || C == '@';
}

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

base::Result<void> parseTexts(const json &Body, JobSpec &Job) {
  for (const TextField &Field : TextFields) {
    auto Found = Body.find(Field.Name_);
    if (Found == Body.end() && !Field.Required_)
      continue;
    if (Found == Body.end() || !Found->is_string() ||
        !isName(Found->get<std::string>()))
      return fieldError(Field.Name_, "1 to 63 of [A-Za-z0-9-_.@]");
    Job.*Field.Target_ = Found->get<std::string>();
  }
  return {};
}

base::Result<void> parseNumbers(const json &Body, JobSpec &Job) {
  for (const NumberField &Field : NumberFields) {
    auto Found = Body.find(Field.Name_);
    if (Found == Body.end()) {
      if (Field.Get_(Job) < Field.Lowest_)
        return fieldError(Field.Name_, "required");
      continue;
    }
    bool Valid = Found->is_number_integer() &&
                 Found->get<int64_t>() >= Field.Lowest_ &&
                 Found->get<int64_t>() <= Field.Highest_;
    if (!Valid)
      return fieldError(Field.Name_, std::to_string(Field.Lowest_) + " to " +
                                         std::to_string(Field.Highest_));
    Field.Set_(Job, Found->get<int64_t>());
  }
  return {};
}

base::Result<void> parseFlags(const json &Body, JobSpec &Job) {
  for (const FlagField &Field : FlagFields) {
    auto Found = Body.find(Field.Name_);
    if (Found == Body.end())
      continue;
    if (!Found->is_boolean())
      return fieldError(Field.Name_, "true or false");
    Job.*Field.Target_ = Found->get<bool>();
  }
  return {};
}

bool isKnownField(const std::string &Name) {
  auto Matches = [&Name](const auto &Field) { return Name == Field.Name_; };
  return Name == "class" ||
         std::any_of(std::begin(TextFields), std::end(TextFields), Matches) ||
         std::any_of(std::begin(FlagFields), std::end(FlagFields), Matches) ||
         std::any_of(std::begin(NumberFields), std::end(NumberFields), Matches);
}

json summaryOf(const partition::JobView &View) {
  json Out = {{"id", View.Id_},
              {"workspace", View.Workspace_},
              {"state", std::string(StateNames.name(View.State_))}};
  if (!View.TransferredTo_.empty())
    Out["transferred_to"] = View.TransferredTo_;
  if (!View.RejectReason_.empty())
    Out["reject_reason"] = View.RejectReason_;
  return Out;
}

} // namespace

base::Result<JobSpec> parseJob(const std::string &Json) {
  json Body = json::parse(Json, nullptr, false);
  if (!Body.is_object())
    return base::fail(base::ErrorKind::InvalidRequest,
                      "job: expected a JSON object");
  for (const auto &[Name, Value] : Body.items())
    if (!isKnownField(Name))
      return base::fail(base::ErrorKind::InvalidRequest,
                        "job: unknown field '" + Name + "'");
  JobSpec Job;
  BOOST_LEAF_CHECK(parseTexts(Body, Job));
  BOOST_LEAF_CHECK(parseFlags(Body, Job));
  BOOST_LEAF_CHECK(parseNumbers(Body, Job));
  std::string ClassName = "batch";
  if (Body.contains("class") && Body["class"].is_string())
    ClassName = Body["class"].get<std::string>();
  else if (Body.contains("class"))
    return fieldError("class", "latency-critical or batch");
  auto Class = ClassNames.parse(ClassName);
  if (!Class)
    return fieldError("class", "latency-critical or batch");
  Job.Class_ = *Class;
  if (Job.Kind_.empty())
    Job.Kind_ = Job.Workspace_;
  return Job;
}

std::string writeJob(const JobSpec &Job) {
  json Body = {{"class", std::string(ClassNames.name(Job.Class_))}};
  for (const TextField &Field : TextFields)
    Body[Field.Name_] = Job.*Field.Target_;
  for (const FlagField &Field : FlagFields)
    Body[Field.Name_] = Job.*Field.Target_;
  for (const NumberField &Field : NumberFields)
    Body[Field.Name_] = Field.Get_(Job);
  return Body.dump();
}

std::string writeJobView(const partition::JobView &View) {
  json Out = summaryOf(View);
  Out["tasks"] = json::array();
  for (const partition::TaskView &Task : View.Tasks_)
    Out["tasks"].push_back({{"task", Task.Task_},
                            {"state", Task.State_},
                            {"worker", Task.Worker_},
                            {"attempt", Task.Attempt_},
                            {"waiting", Task.PendingReason_}});
  return Out.dump();
}

std::string writeJobList(const std::vector<partition::JobView> &Views) {
  json Out = json::array();
  for (const partition::JobView &View : Views) {
    json Row = summaryOf(View);
    std::map<std::string, int> Counts;
    for (const partition::TaskView &Task : View.Tasks_)
      ++Counts[Task.State_];
    Row["task_states"] = Counts;
    Out.push_back(std::move(Row));
  }
  return Out.dump();
}

std::string writeDecisions(const std::vector<partition::DecisionRecord> &Log) {
  json Out = json::array();
  for (const partition::DecisionRecord &Each : Log)
    Out.push_back({{"at_unix_ms", Each.UnixMs_},
                   {"task", Each.Task_},
                   {"event", Each.Event_},
                   {"reason", Each.Reason_},
                   {"worker", Each.Worker_}});
  return Out.dump();
}

std::string writeUsage(const std::vector<partition::UsageRow> &Rows) {
  json Out = json::array();
  for (const partition::UsageRow &Row : Rows)
    Out.push_back({{"period", Row.Period_},
                   {"workspace", Row.Workspace_},
                   {"granted_cpu_ms", Row.GrantedCpuMillis_},
                   {"held_cpu_ms", Row.HeldCpuMillis_},
                   {"used_cpu_ms", Row.UsedCpuMillis_},
                   {"estimated_cpu_ms", Row.EstimatedCpuMillis_},
                   {"evictions", Row.Evictions_}});
  return Out.dump();
}

std::vector<partition::UsageRow> parseUsage(const std::string &Json) {
  std::vector<partition::UsageRow> Out;
  json Body = json::parse(Json, nullptr, false);
  if (!Body.is_array())
    return Out;
  for (const json &Row : Body)
    Out.push_back({Row.value("period", ""), Row.value("workspace", ""),
                   Row.value("granted_cpu_ms", int64_t{0}),
                   Row.value("held_cpu_ms", int64_t{0}),
                   Row.value("used_cpu_ms", int64_t{0}),
                   Row.value("estimated_cpu_ms", int64_t{0}),
                   Row.value("evictions", 0U)});
  return Out;
}

} // namespace crocuslead::app
