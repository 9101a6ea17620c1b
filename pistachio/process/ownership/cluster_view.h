#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "pistachio/connection/store.h"
#include "pistachio/process/ownership/cell_layout.h"
#include "pistachio/process/scheduling/move_choice.h"
#include "pistachio/process/scheduling/not_begun_count.h"
#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief A live host.
struct MemberRecord {
  HostId host;
  DataCentreId data_centre;
  std::uint64_t incarnation = 0;   ///< random number of the host's current process
  std::int64_t cpu_millis = 1000;  ///< thousandths of a core that the host may use
  /// The host looks up a submission's cell again if the submission is not where it was. Owners move
  /// submissions only while this holds for all live hosts.
  bool follows_moves = true;
};

/// \brief Owner of a cell.
struct OwnerRecord {
  HostId host;
  std::uint64_t incarnation = 0;  ///< random number of the owner's process
  /// Random number that identifies one take of the cell. If the answer to the take was lost, the
  /// host recognizes its own owner record by this number. The sequence key holds the sum of this
  /// number and the number of the last commit.
  std::uint64_t nonce = 0;
  /// The owner reads the progress of submissions that move to the cell. Submissions that have begun
  /// move only to such owners.
  bool reads_progress = false;
};

/// \brief Marker of an owner's last write.
///
/// Each write replaces the record as a whole, as does each take of the cell. Therefore the
/// leases of an owner don't outlast the next owner, even one whose version writes none.
struct SequenceRecord {
  OwnerRecord writer;  ///< its nonce differs between writes
  LeaseRecord leases;
};

/// \brief Load of a cell as its owner last published it.
struct LoadRecord {
  /// Submissions of which no task is known to have begun, by queue.
  std::map<QueueId, SubmissionCount> pending;
  Duration backlog{0};  ///< estimated wait of batch work; see Cell::Backlog
  /// CPU that long-running tasks request, as a fraction of that of the ready targets; see
  /// Cell::LongRunningShare.
  double long_running_share = 0.0;
  std::uint32_t targets = 0;      ///< number of ready targets
  std::int64_t capacity_cpu = 0;  ///< CPU of the ready targets, thousandths of a core
  double batch_cpu = 0.0;         ///< CPU that works on the backlog; see Cell::BatchCpu
  FreeSlots free_slots;
  std::optional<ForecastLoad> forecast;  ///< nothing in records of earlier versions
  /// Store revision up to which `pending` covers all submissions that were accepted into the cell
  /// or moved there; nothing in records of earlier versions.
  std::optional<std::uint64_t> counted_revision;
  /// Store revision from which on the writer knows which submissions have moved to other cells.
  /// Those that an earlier writer moved are not in `pending`.
  std::uint64_t moves_known_since = 0;

  /// \returns the count for a later writer of the record, or nothing if the record names no
  ///   revision.
  std::optional<EarlierCount> Count() const;

  /// \returns the part of the record that the choice of a cell depends on.
  CellRoom Room() const;
};

/// \brief A time for which a cell had no owner.
struct AbsenceRecord {
  Duration time{0};  ///< at least this long when the record was written
  /// A store revision at which the cell had no owner already.
  std::uint64_t revision = 0;
};

/// \returns the record as CBOR.
std::string EncodeRecord(const AbsenceRecord& record);
std::string EncodeRecord(const MemberRecord& record);
std::string EncodeRecord(const OwnerRecord& record);
std::string EncodeRecord(const SequenceRecord& record);
std::string EncodeRecord(const LoadRecord& record);

/// \returns the decoded record, or nothing if \a bytes do not hold a valid one.
std::optional<MemberRecord> DecodeMember(const std::string& bytes);
std::optional<OwnerRecord> DecodeOwner(const std::string& bytes);
std::optional<SequenceRecord> DecodeSequence(const std::string& bytes);
std::optional<LoadRecord> DecodeLoad(const std::string& bytes);
std::optional<AbsenceRecord> DecodeAbsence(const std::string& bytes);

/// \brief Read access to the mirrored store records of members, owners, loads and the layout.
class ClusterView {
 public:
  /// \param mirror mirror of the prefix store_keys::kClusterPrefix; must outlive the view
  explicit ClusterView(const PrefixMirror& mirror);

  /// \returns true if the mirror is loaded and the store confirmed it within \a max_age.
  bool IsFresh(TimePoint now, Duration max_age) const;

  /// \returns a time at which the store had the state of the view, see PrefixMirror::valid_at.
  TimePoint valid_at() const { return this->mirror.get().valid_at(); }

  /// Owner of a cell, with the revision of the owner key.
  struct Owner {
    OwnerRecord record;
    std::uint64_t revision = 0;
  };
  /// \returns the owner of \a cell, or nothing if there is none. If the record is unreadable, the
  ///   owner has an empty host id.
  std::optional<Owner> OwnerOf(const CellId& cell) const;
  /// \returns the load of \a cell, or nothing if there is no valid record.
  std::optional<LoadRecord> LoadOf(const CellId& cell) const;
  /// \returns the last absence of an owner of \a cell that a host has recorded, or nothing if there
  ///   is no valid record.
  std::optional<AbsenceRecord> AbsenceOf(const CellId& cell) const;
  /// \returns a store revision whose changes the view contains.
  std::uint64_t revision() const { return this->mirror.get().revision(); }
  /// \returns the store revision of the load record of \a cell, or 0 if there is none.
  std::uint64_t LoadRevisionOf(const CellId& cell) const;
  /// \returns true if there are live hosts and all of them follow moves of submissions.
  bool AllHostsFollowMoves() const;
  /// \returns the live hosts of \a data_centres.
  std::vector<MemberRecord> MembersOf(const std::vector<DataCentreId>& data_centres) const;
  /// \returns the layout of the cells, or nothing if none is stored yet.
  std::optional<CellLayout> Layout() const;
  /// \returns all live hosts.
  std::vector<MemberRecord> Members() const;
  /// \returns the number of cells that \a host owns.
  std::size_t OwnedCellCount(const HostId& host) const;

 private:
  std::reference_wrapper<const PrefixMirror> mirror;
};

/// \returns the load of each of \a cells that has an owner and a load record.
std::vector<MoveDestination> ReadDestinations(const ClusterView& view,
                                              const std::vector<CellId>& cells);

}  // namespace pistachio
