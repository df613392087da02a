#include "node/records/record_import.h"
#include "core/records/record_parser.h"
#include "node/node_context.h"
#include "siskinstage/config.h"

namespace siskinstage {

bool importRecord(NodeContext &Context, const Json::Value &Value,
                  RecordBatch &Batch, std::shared_ptr<const std::string> Text) {
  RecordReading Reading = readRecord(Value, std::move(Text));
  for (const std::string &Warning : Reading.Warnings)
    logEvent(LogLevel::Warn, "record " + Reading.Label + ": " + Warning);
  for (const FieldFault &Fault : Reading.Faults)
    logEvent(LogLevel::Error,
             "record " + Reading.Label + " rejected: " + Fault.text(),
             {{"step", stepName(Step::Records)}});
  if (!Reading.Accepted) {
    Context.NodeMetrics.countRejectedRecord();
    return false;
  }
  Batch.Records.push_back(std::move(*Reading.Accepted));
  return true;
}

void importRecordText(NodeContext &Context, const std::string &Text,
                      const Address &Peer, RecordBatch &Batch) {
  const auto Values = parseRecords(Text, Peer.str());
  if (!Values) {
    logError(LogLevel::Error, "malformed record rejected", Values.error());
    Context.NodeMetrics.countRejectedRecord();
    return;
  }
  const bool Single = Text.front() == '{';
  for (const Json::Value &Value : *Values) {
    // Validating a long record takes as long as parsing it.
    const auto Identity = recordIdentity(Value);
    if (!Identity ||
        Context.Records.expectedRevision(Identity->first) < Identity->second)
      importRecord(Context, Value, Batch,
                   Single ? std::make_shared<const std::string>(Text)
                          : nullptr);
  }
}

void postUpdate(NodeContext &Context, const ConfigUpdate &Update) {
  // Configuration is never dropped; the threads that read it can wait.
  while (!Context.tryPostUpdate(Update))
    if (Context.Stop.sleep(config::DecisionPeriod))
      return;
}

} // namespace siskinstage
