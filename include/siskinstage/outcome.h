#ifndef SISKINSTAGE_OUTCOME_H
#define SISKINSTAGE_OUTCOME_H

namespace siskinstage {

/// What is known of a request that no target answered.
enum class Outcome {
  NotRun,  ///< Proved: no target ran it and none will.
  Unknown, ///< It may have run, may run still, or may never run.
};

/// "not-run" or "unknown", as the Siskinstage-Outcome header shows it.
const char *outcomeName(Outcome Value);

} // namespace siskinstage

#endif // SISKINSTAGE_OUTCOME_H
