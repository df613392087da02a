#ifndef SISKINSTAGE_NODE_RECORD_IMPORT_H
#define SISKINSTAGE_NODE_RECORD_IMPORT_H

#include "node/config_update.h"

#include <json/value.h>
#include <string>

namespace siskinstage {

struct NodeContext;

/// Validates \p Value and adds it to \p Batch; a record with faults is logged,
/// counted and left out.
void importRecord(NodeContext &Context, const Json::Value &Value,
                  RecordBatch &Batch);

/// The same for a record as text, as another node passes it.
void importRecordText(NodeContext &Context, const std::string &Text,
                      const Address &Peer, RecordBatch &Batch);

/// Passes \p Update to the decision thread; waits for a place.
void postUpdate(NodeContext &Context, const ConfigUpdate &Update);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_RECORD_IMPORT_H
