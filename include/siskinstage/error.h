#ifndef SISKINSTAGE_ERROR_H
#define SISKINSTAGE_ERROR_H

#include <string>
#include <tl/expected.hpp>

namespace siskinstage {

/// The step of the work at which an error arose.
enum class Step {
  Settings,
  Records,
  ReadRequest,
  Route,
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

/// Short lower-case name of \p FailedStep, as logs and answers show it.
const char *stepName(Step FailedStep);

/// An error with the step and the peer at which it arose.
struct Error {
  Step FailedStep = Step::Settings;
  std::string Peer;   ///< Address or record name; empty if none is concerned.
  std::string Reason; ///< One sentence without a full stop.

  /// "step peer: reason", for logs and terminals.
  [[nodiscard]] std::string text() const;
};

template <typename T> using Result = tl::expected<T, Error>;

/// Shortens `return tl::unexpected(Error{...})`.
tl::unexpected<Error> fail(Step FailedStep, std::string Peer,
                           std::string Reason);

} // namespace siskinstage

#endif // SISKINSTAGE_ERROR_H
