#include "node/records/readiness_tracker.h"
#include "core/records/record_store.h"
#include "node/operators/log.h"
#include "node/records/config_update.h"
#include "node/settings.h"
#include "node/snapshot.h"

#include <utility>

namespace siskinstage {

ReadinessTracker::ReadinessTracker(const Settings &Values, Instant Started)
    : Values(Values), Started(Started) {}

void ReadinessTracker::onRecords(const RecordBatch &Batch) {
  this->PlatformRead = this->PlatformRead || Batch.PlatformComplete;
  this->PlatformCurrent = this->PlatformCurrent || Batch.PlatformCurrent;
  if (!Batch.ComparedDomain.empty())
    this->ComparedDomains.insert(Batch.ComparedDomain);
}

void ReadinessTracker::onInstanceList(std::set<FailureDomain> Domains) {
  this->InstanceListRead = true;
  this->ListedNodeDomains = std::move(Domains);
}

ReadinessFacts ReadinessTracker::facts(const RecordStore &Records,
                                       Instant Now) const {
  ReadinessFacts Known;
  Known.ConfigurationKnown =
      this->Values.RequiredRecord
          ? Records.find(*this->Values.RequiredRecord) != nullptr
          : !Records.all().empty();
  Known.PlatformRead = this->PlatformRead;
  Known.PlatformCurrent = this->PlatformCurrent;
  Known.DomainsCompared = this->ComparedDomains.size();
  Known.InstanceListRead = this->InstanceListRead;
  Known.DomainsListed = this->ListedNodeDomains.size();
  Known.WaitedOut = Now - this->Started >= this->Values.ReadyWait;
  return Known;
}

bool ReadinessTracker::update(const RecordStore &Records, Instant Now,
                              Snapshot &Next) const {
  if (Next.Configured)
    return false;
  const ReadinessFacts Known = this->facts(Records, Now);
  const bool MayServe = mayServeCallers(Known);
  const bool Changed =
      MayServe || (hasPlatformRecords(Known) && !Next.HasPlatformRecords);
  if (!Changed)
    return false;
  Next.HasPlatformRecords = true;
  if (!MayServe)
    return true;
  Next.Configured = true;
  logEvent(LogLevel::Info, "node is ready to serve callers",
           {{"domains_compared", std::to_string(Known.DomainsCompared)},
            {"platform_read", Known.PlatformRead ? "yes" : "no"},
            {"waited_out", Known.WaitedOut ? "yes" : "no"}});
  return true;
}

} // namespace siskinstage
