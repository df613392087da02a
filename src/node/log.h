#ifndef SISKINSTAGE_NODE_LOG_H
#define SISKINSTAGE_NODE_LOG_H

#include "siskinstage/error.h"

#include <string>
#include <utility>
#include <vector>

namespace siskinstage {

enum class LogLevel { Debug, Info, Warn, Error };
enum class LogFormat { KeyValue, Json };

/// One named value of an event.
using LogField = std::pair<const char *, std::string>;

/// Sets up logging to standard error. Call once, before any thread starts.
/// \param Node shown with every event.
void startLog(LogLevel Least, LogFormat Format, const std::string &Node);

/// Logs one event as one line.
/// \param Message a sentence without a full stop.
void logEvent(LogLevel Level, const std::string &Message,
              const std::vector<LogField> &Fields = {});

/// Logs \p Fault with its step and peer.
void logError(LogLevel Level, const std::string &Message, const Error &Fault);

/// One event as the line that is logged, without a line end.
std::string formatEvent(LogFormat Format, LogLevel Level,
                        const std::string &Time, const std::string &Node,
                        const std::string &Message,
                        const std::vector<LogField> &Fields);

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_LOG_H
