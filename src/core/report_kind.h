#ifndef SISKINSTAGE_CORE_REPORT_KIND_H
#define SISKINSTAGE_CORE_REPORT_KIND_H

namespace siskinstage {

/// What a node reports of a target to the others of its service's group.
enum class ReportKind {
  Failing,     ///< It ran work and failed, was slow or never answered.
  Unreachable, ///< It could not be reached from there.
  Leaving,     ///< It takes no new work.
  Ejected,     ///< It was ejected there on the reports of several nodes.
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_REPORT_KIND_H
