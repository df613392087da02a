#include "standin/target_behaviour.h"

namespace siskinstage::standin {

void TargetBehaviour::set(const ControlRequest &Asked) {
  const auto Share = [&](const char *Name, std::atomic<double> &Value) {
    Value = Asked.number(Name, Value);
  };
  const auto Flag = [&](const char *Name, std::atomic<bool> &Value) {
    Value = Asked.number(Name, Value ? 1 : 0) > 0;
  };
  Share("fail", this->FailShare);
  Share("silent", this->SilentShare);
  Share("slow", this->SlowFactor);
  Share("shed", this->ShedShare);
  Share("crash_before", this->CrashBefore);
  Share("crash_during", this->CrashDuring);
  Share("crash_after", this->CrashAfter);
  Share("cut", this->CutShare);
  Share("wrong_id", this->WrongId);
  this->DownMs = static_cast<int>(Asked.number("down_ms", this->DownMs));
  this->ColdMs = static_cast<int>(Asked.number("cold_ms", this->ColdMs));
  Flag("leaving", this->Leaving);
  Flag("health_fails", this->HealthFails);
  Flag("load_lies", this->LoadLies);
}

} // namespace siskinstage::standin
