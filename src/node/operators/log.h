#ifndef SISKINSTAGE_NODE_OPERATORS_LOG_H
#define SISKINSTAGE_NODE_OPERATORS_LOG_H

#include "siskinstage/error.h"

#include <string>
#include <utility>
#include <vector>

namespace siskinstage {

/// Severity, lowest first.
enum class LogLevel { Debug, Info, Warn, Error };
/// KeyValue writes key=value pairs, Json one object; both one line per event.
enum class LogFormat { KeyValue, Json };

/// Key and value of an event.
using LogField = std::pair<const char *, std::string>;

/// Sets up logging to standard error. Call once, before any thread starts.
/// \param MinLevel events below it are dropped.
/// \param Node id of this node, added to every event.
void startLog(LogLevel MinLevel, LogFormat Format, const std::string &Node);

/// Logs one event as one line.
/// \param Message without a full stop.
void logEvent(LogLevel Level, const std::string &Message,
              const std::vector<LogField> &Fields = {});

/// Logs \p Fault with its step, peer and reason.
void logError(LogLevel Level, const std::string &Message, const Error &Fault);

/// Formats an event as it is logged, without a newline.
std::string formatEvent(LogFormat Format, LogLevel Level,
                        const std::string &Time, const std::string &Node,
                        const std::string &Message,
                        const std::vector<LogField> &Fields);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_OPERATORS_LOG_H
