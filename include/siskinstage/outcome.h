#ifndef SISKINSTAGE_OUTCOME_H
#define SISKINSTAGE_OUTCOME_H

namespace siskinstage {

/// What is known about a request that got no response from a target.
enum class Outcome {
  NotRun,  ///< Certain: no target ran it and none will.
  Unknown, ///< It may have run, may still run, or may never run.
};

/// "not-run" or "unknown", as in the header Siskinstage-Outcome.
const char *outcomeName(Outcome Value);

} // namespace siskinstage

#endif // SISKINSTAGE_OUTCOME_H
