#pragma once

#include <optional>
#include <string>

#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Keys of the store: what each one holds, and who writes it.
namespace store_keys {

/// Prefix of the keys that every host watches: the layout, and the members, owners and loads.
inline const char* const kClusterPrefix = "node/";
inline const char* const kMembersPrefix = "node/member/";
inline const char* const kOwnersPrefix = "node/own/";
inline const char* const kLoadsPrefix = "node/load/";
inline const char* const kAbsencesPrefix = "node/absent/";

/// Layout of the cells; written once per installation.
inline std::string Layout() { return std::string(kClusterPrefix) + "layout"; }
/// Member record of a live host; removed when the host's lease ends.
inline std::string Member(const HostId& host) { return kMembersPrefix + host.str(); }
/// Owner record of a cell; removed when the owner's lease ends. Its revision is the fencing token.
inline std::string Owner(const CellId& cell) { return kOwnersPrefix + cell.str(); }
/// Load record of a cell; written by its owner.
inline std::string Load(const CellId& cell) { return kLoadsPrefix + cell.str(); }
/// How long a cell has had no owner; written by a live host while it has none.
inline std::string Absence(const CellId& cell) { return kAbsencesPrefix + cell.str(); }
/// Interference model that a cell's owner has learned; written by the owner periodically.
inline std::string Model(const CellId& cell) { return "model/" + cell.str(); }
/// Marker of the last commit of a cell's owner. Its revision is a precondition of the next commit,
/// so commits take effect in order.
inline std::string Sequence(const CellId& cell) { return "seq/" + cell.str(); }
/// Id of the cell that a submission is assigned to; written once, by the host that accepts the
/// submission.
inline std::string AssignedCell(const SubmissionId& id) { return "id/" + id.str(); }
/// Marker that attempts of a submission were refused; written by the host that refuses, on the
/// condition that the submission is not stored. Its lease removes it. The write of a submission
/// requires the revision that its host knows, so earlier attempts cannot store it any more.
inline std::string Closed(const SubmissionId& id) { return "closed/" + id.str(); }
/// Prefix of the submissions, cancellations and ends of runs that any host writes for a cell's
/// owner to read.
inline std::string InboxPrefix(const CellId& cell) { return "in/" + cell.str() + "/"; }
inline std::string InboxSubmissionsPrefix(const CellId& cell) { return InboxPrefix(cell) + "j/"; }
inline std::string InboxCancelsPrefix(const CellId& cell) { return InboxPrefix(cell) + "c/"; }
/// Submission as it was accepted; written together with its assigned cell.
inline std::string Accepted(const CellId& cell, const SubmissionId& id) {
  return InboxSubmissionsPrefix(cell) + id.str();
}
/// Empty marker that a caller has cancelled the submission.
inline std::string CancelMark(const CellId& cell, const SubmissionId& id) {
  return InboxCancelsPrefix(cell) + id.str();
}
/// Prefix of the ends of runs that owners of other cells have read from their targets, for tasks of
/// this cell. The owner of this cell removes one with the write that contains its effect.
inline std::string InboxEndsPrefix(const CellId& cell) { return InboxPrefix(cell) + "e/"; }
inline std::string InboxEnd(const CellId& cell, const ForwardedEnd& end) {
  return InboxEndsPrefix(cell) + end.str();
}
/// Prefix of the progress records of a cell's submissions; written by the cell's owner. The owner
/// of another cell writes the first record of a submission that it moves here.
inline std::string ProgressPrefix(const CellId& cell) { return "run/" + cell.str() + "/"; }
inline std::string Progress(const CellId& cell, const SubmissionId& id) {
  return ProgressPrefix(cell) + id.str();
}

/// \returns the part of \a key after \a prefix, or nothing if the key does not begin with the
///   prefix or equals it.
inline std::optional<std::string> StripPrefix(const std::string& prefix, const std::string& key) {
  const bool matches = key.size() > prefix.size() && key.compare(0, prefix.size(), prefix) == 0;
  return matches ? std::optional<std::string>(key.substr(prefix.size())) : std::nullopt;
}

}  // namespace store_keys

}  // namespace pistachio
