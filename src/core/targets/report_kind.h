#ifndef SISKINSTAGE_CORE_TARGETS_REPORT_KIND_H
#define SISKINSTAGE_CORE_TARGETS_REPORT_KIND_H

namespace siskinstage {

/// What a node reports on a target to the other nodes of its service's group.
enum class ReportKind {
  Failing,     ///< Requests failed, were slow or timed out.
  Unreachable, ///< The target is unreachable from the reporting node.
  Leaving,     ///< The target accepts no new requests.
  Ejected, ///< The reporting node ejected it on the reports of several nodes.
};

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_TARGETS_REPORT_KIND_H
