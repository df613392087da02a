#ifndef SISKINSTAGE_CTL_COMMANDS_H
#define SISKINSTAGE_CTL_COMMANDS_H

#include "ctl/ctl_options.h"

namespace siskinstage::ctl {

/// Each runs one command and returns the exit code; Words[0] is its name.
int runCheck(const CtlOptions &Options);
int runState(const CtlOptions &Options);
int runTargets(const CtlOptions &Options);
int runMembers(const CtlOptions &Options);
int runConfig(const CtlOptions &Options);
int runExplain(const CtlOptions &Options);
int runCompletion(const CtlOptions &Options);

} // namespace siskinstage::ctl

#endif // SISKINSTAGE_CTL_COMMANDS_H
