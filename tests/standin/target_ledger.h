#ifndef SISKINSTAGE_TESTS_STANDIN_TARGET_LEDGER_H
#define SISKINSTAGE_TESTS_STANDIN_TARGET_LEDGER_H

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace siskinstage::standin {

/// How often each piece of work was run, over all targets of the process. It
/// outlives their crashes.
class TargetLedger {
public:
  /// Notes the start of a run. \param Work the caller's name for the work.
  void begin(const std::string &Work, const std::string &Target);
  /// JSON object: work to the number of its runs.
  std::string dump();
  void clear();

private:
  std::mutex Lock;
  std::map<std::string, std::uint32_t> Runs;
};

} // namespace siskinstage::standin

#endif // SISKINSTAGE_TESTS_STANDIN_TARGET_LEDGER_H
