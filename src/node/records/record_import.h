#ifndef SISKINSTAGE_NODE_RECORDS_RECORD_IMPORT_H
#define SISKINSTAGE_NODE_RECORDS_RECORD_IMPORT_H

#include "node/records/config_update.h"

#include <json/value.h>
#include <memory>
#include <string>

namespace siskinstage {

struct NodeContext;

/// Validates \p Value and adds the record to \p Batch. An invalid record is
/// logged, counted and left out. \returns whether it is valid.
/// \param Text see readRecord().
bool importRecord(NodeContext &Context, const Json::Value &Value,
                  RecordBatch &Batch,
                  std::shared_ptr<const std::string> Text = nullptr);

/// Parses and imports records from JSON text that \p Peer sent, except those
/// whose revision is known.
void importRecordText(NodeContext &Context, const std::string &Text,
                      const Address &Peer, RecordBatch &Batch);

/// Passes \p Update to the decision thread, waiting while its ring is full.
void postUpdate(NodeContext &Context, const ConfigUpdate &Update);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_RECORDS_RECORD_IMPORT_H
