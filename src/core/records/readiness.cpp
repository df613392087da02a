#include "core/records/readiness.h"
#include "siskinstage/config.h"

namespace siskinstage {

bool hasPlatformRecords(const ReadinessFacts &Known) {
  return Known.ConfigurationKnown && Known.PlatformRead;
}

bool mayServeCallers(const ReadinessFacts &Known) {
  const bool RecordsComplete = Known.PlatformRead || Known.DomainsCompared > 0;
  if (!Known.ConfigurationKnown || !RecordsComplete)
    return false;
  const bool PeersSuffice =
      Known.DomainsCompared >= config::ReadyDomains ||
      (Known.InstanceListRead && Known.DomainsCompared >= Known.DomainsListed);
  return Known.PlatformCurrent || PeersSuffice || Known.WaitedOut;
}

} // namespace siskinstage
