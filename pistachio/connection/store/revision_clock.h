#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "pistachio/connection/store/calls.h"

namespace pistachio {

/// \brief Maps revisions of the store to times of this process.
///
/// A record that names the store revision up to which it is complete has no age that another host
/// could read, because hosts share no clock. With the revisions in the replies that this host
/// received, it gets one.
class RevisionClock {
 public:
  /// \brief Learns from a reply to a call of this host. Ignores replies without a revision, and
  /// those to watches that report changes or repeat the revision asked for, as the revision of the
  /// store may be a later one.
  /// \param sent_at when the call was sent, or before
  /// \param now when the reply arrived, or before
  void OnReply(const StoreCall& call, const StoreReply& reply, TimePoint sent_at, TimePoint now);

  /// \brief Dates the latest revision that replies have shown; call it after they were handled.
  ///
  /// A reply is handled with the time of the tick before, which may lie before the write that made
  /// the revision: by seconds if the process was suspended.
  void OnTick(TimePoint now);

  /// \returns a time at which the store certainly had \a revision or a later one, the earliest that
  ///   is known, or nothing if none is. Replies show it some tenths of a second after the write.
  std::optional<TimePoint> ReachedBy(std::uint64_t revision) const;

  /// \returns the latest known time at which the store had no change after \a revision, or nothing
  ///   if that time is unknown. A copy with all changes up to \a revision has all changes until
  ///   then. Times older than 20 s are not known.
  std::optional<TimePoint> TimeOf(std::uint64_t revision) const;

  /// \returns the number of replies that are kept.
  std::size_t size() const { return this->samples.size(); }

 private:
  /// At `time`, the revision of the store was `revision` or an earlier one.
  struct Sample {
    TimePoint time;
    std::uint64_t revision = 0;
  };

  void Add(const Sample& sample);

  std::deque<Sample> samples;  ///< both members rise from each sample to the next
  /// At `time`, the revision of the store was `revision` or a later one. Both members rise.
  std::deque<Sample> reached;
  std::uint64_t newest_revision = 0;  ///< in any reply
};

}  // namespace pistachio
