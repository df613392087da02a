#ifndef SISKINSTAGE_CTL_OPERATOR_CLIENT_H
#define SISKINSTAGE_CTL_OPERATOR_CLIENT_H

#include "ctl/ctl_options.h"

#include <json/value.h>
#include <optional>
#include <string>

namespace siskinstage::ctl {

/// Fetches a JSON page from the operator port of the node.
/// \param RequestTarget path and query of the page.
/// \returns the page; nothing after an error, which is printed to standard
///          error.
std::optional<Json::Value> fetchPage(const CtlOptions &Options,
                                     const std::string &RequestTarget);

} // namespace siskinstage::ctl

#endif // SISKINSTAGE_CTL_OPERATOR_CLIENT_H
