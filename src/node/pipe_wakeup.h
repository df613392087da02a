#ifndef SISKINSTAGE_NODE_PIPE_WAKEUP_H
#define SISKINSTAGE_NODE_PIPE_WAKEUP_H

namespace siskinstage {

/// Wakes a thread that polls descriptors.
class PipeWakeup {
public:
  PipeWakeup();
  ~PipeWakeup();
  PipeWakeup(const PipeWakeup &) = delete;
  PipeWakeup &operator=(const PipeWakeup &) = delete;

  void ring() const;
  /// Becomes readable when the bell rings; -1 if there is no pipe.
  [[nodiscard]] int descriptor() const { return this->Ends[0]; }
  /// Takes back all rings so far.
  void silence() const;

private:
  int Ends[2] = {-1, -1};
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_PIPE_WAKEUP_H
