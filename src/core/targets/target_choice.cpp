#include "core/targets/target_choice.h"

namespace siskinstage {

void TargetChoice::add(const PlacementTarget &Target, bool Tried,
                       bool Restricts) {
  const auto Option = Tried ? std::nullopt
                            : candidateOf(Target, this->Request, this->Usual,
                                          this->Now, this->Rng);
  if (Option) {
    this->Found.push_back(*Option);
    return;
  }
  Shortage &Why = this->Reason;
  const bool Free = hasSlot(Target);
  Why.NoFreeSlot = Why.NoFreeSlot || !Tried;
  Why.UsableByOthers = Why.UsableByOthers || (Free && Target.MayReceive);
  Why.UnrestrictedTarget = Why.UnrestrictedTarget || (!Tried && !Restricts);
  Why.Restricted = Why.Restricted || (!Tried && Free && !Target.MayReceive);
}

} // namespace siskinstage
