#ifndef SISKINSTAGE_TESTS_STANDIN_TARGET_LEDGER_H
#define SISKINSTAGE_TESTS_STANDIN_TARGET_LEDGER_H

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace siskinstage::standin {

/// Counts the runs of each work id over all targets of the process. The counts
/// survive simulated crashes of targets.
class TargetLedger {
public:
  /// Counts the start of a run.
  /// \param WorkId id that the caller gave the work; not counted if empty.
  void recordRun(const std::string &WorkId, const std::string &Target);
  /// JSON object of the number of runs by work id.
  std::string dump();
  void clear();

private:
  std::mutex Lock;
  std::map<std::string, std::uint32_t> Runs;
};

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_TARGET_LEDGER_H
