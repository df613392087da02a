#ifndef SISKINSTAGE_ERROR_H
#define SISKINSTAGE_ERROR_H

#include <string>
#include <tl/expected.hpp>

namespace siskinstage {

/// The step of the work in which an error occurred.
enum class Step {
  Settings,
  Records,
  ReadRequest,
  Route,
  Account,
  Limit,
  Key,
  Queue,
  Connect,
  SendRequest,
  ReadResponse,
  SendResponse,
  Forward,
  Platform,
  Listen,
  Shutdown,
};

/// Lower-case name of \p FailedStep for logs, metrics and responses.
const char *stepName(Step FailedStep);

/// An error, with the step in which it occurred and the peer concerned.
struct Error {
  Step FailedStep = Step::Settings;
  std::string Peer;   ///< Address or record name; may be empty.
  std::string Reason; ///< One sentence without a full stop.
  /// The peer's message is longer than this node accepts.
  bool TooLong = false;

  /// "step peer: reason", for logs and terminals.
  [[nodiscard]] std::string text() const;
};

template <typename T> using Result = tl::expected<T, Error>;

/// Shorthand for `tl::unexpected(Error{...})`.
tl::unexpected<Error> fail(Step FailedStep, std::string Peer,
                           std::string Reason);

} // namespace siskinstage

#endif // SISKINSTAGE_ERROR_H
