#ifndef SISKINSTAGE_CTL_COMMANDS_H
#define SISKINSTAGE_CTL_COMMANDS_H

#include "ctl/ctl_options.h"

namespace siskinstage::ctl {

/// The commands of siskinctl. Each prints its result to standard output and
/// errors to standard error, and returns an exit code. Options.Arguments[0] is
/// the name of the command.
int runCheck(const CtlOptions &Options);
int runState(const CtlOptions &Options);
int runTargets(const CtlOptions &Options);
int runMembers(const CtlOptions &Options);
int runConfig(const CtlOptions &Options);
int runExplain(const CtlOptions &Options);
int runCompletion(const CtlOptions &Options);

} // namespace siskinstage::ctl

#endif // SISKINSTAGE_CTL_COMMANDS_H
