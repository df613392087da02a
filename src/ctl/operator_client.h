#ifndef SISKINSTAGE_CTL_OPERATOR_CLIENT_H
#define SISKINSTAGE_CTL_OPERATOR_CLIENT_H

#include "ctl/ctl_options.h"

#include <json/value.h>
#include <optional>
#include <string>

namespace siskinstage::ctl {

/// A JSON page of the node's operators' port; says on standard error why there
/// is none.
std::optional<Json::Value> fetchPage(const CtlOptions &Options,
                                     const std::string &Target);

} // namespace siskinstage::ctl

#endif // SISKINSTAGE_CTL_OPERATOR_CLIENT_H
