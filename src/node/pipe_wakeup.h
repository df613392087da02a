#ifndef SISKINSTAGE_NODE_PIPE_WAKEUP_H
#define SISKINSTAGE_NODE_PIPE_WAKEUP_H

namespace siskinstage {

/// Wakes a thread that waits in poll().
class PipeWakeup {
public:
  PipeWakeup();
  ~PipeWakeup();
  PipeWakeup(const PipeWakeup &) = delete;
  PipeWakeup &operator=(const PipeWakeup &) = delete;

  void notify() const;
  /// Read end of the pipe, readable after notify(); -1 if the pipe could not be
  /// created.
  [[nodiscard]] int descriptor() const { return this->Ends[0]; }
  /// Discards all notifications so far.
  void clear() const;

private:
  int Ends[2] = {-1, -1};
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_PIPE_WAKEUP_H
