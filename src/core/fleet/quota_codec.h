#ifndef SISKINSTAGE_CORE_FLEET_QUOTA_CODEC_H
#define SISKINSTAGE_CORE_FLEET_QUOTA_CODEC_H

#include "core/requests/quota_message.h"
#include "siskinstage/error.h"

#include <json/value.h>

namespace siskinstage {

/// Values of the field "k" of gossip messages about quotas.
inline constexpr const char *QuotaRequestKind = "quota";
inline constexpr const char *QuotaResponseKind = "loan";

/// Adds the fields of a message to \p Output.
void writeQuota(const QuotaRequest &Body, Json::Value &Output);
void writeQuota(const QuotaResponse &Body, Json::Value &Output);

Result<QuotaRequest> readQuotaRequest(const Json::Value &Value);
Result<QuotaResponse> readQuotaResponse(const Json::Value &Value);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_FLEET_QUOTA_CODEC_H
