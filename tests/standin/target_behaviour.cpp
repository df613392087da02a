#include "standin/target_behaviour.h"

namespace siskinstage::standin {

void TargetBehaviour::update(const ControlRequest &Request) {
  const auto SetNumber = [&](const char *Name, std::atomic<double> &Value) {
    Value = Request.number(Name, Value);
  };
  const auto SetFlag = [&](const char *Name, std::atomic<bool> &Value) {
    Value = Request.number(Name, Value ? 1 : 0) > 0;
  };
  SetNumber("fail", this->FailProbability);
  SetNumber("silent", this->HangProbability);
  SetNumber("slow", this->SlowFactor);
  SetNumber("shed", this->ShedProbability);
  SetNumber("crash_before", this->CrashBeforeProbability);
  SetNumber("crash_during", this->CrashDuringProbability);
  SetNumber("crash_after", this->CrashAfterProbability);
  SetNumber("cut", this->TruncateProbability);
  SetNumber("wrong_id", this->WrongIdProbability);
  SetNumber("rate_limit", this->RateLimit);
  SetNumber("retry_after", this->RetryAfter);
  this->DownMs = static_cast<int>(Request.number("down_ms", this->DownMs));
  this->ColdMs = static_cast<int>(Request.number("cold_ms", this->ColdMs));
  SetFlag("leaving", this->Leaving);
  SetFlag("health_fails", this->FailHealthChecks);
  SetFlag("load_lies", this->ReportZeroLoad);
}

} // namespace siskinstage::standin
