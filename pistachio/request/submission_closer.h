#pragma once

#include <functional>
#include <list>
#include <optional>
#include <vector>

#include "pistachio/connection/store.h"
#include "pistachio/process/scheduling/types.h"

namespace pistachio {

/// \brief Limits and intervals of SubmissionCloser.
struct SubmissionCloserSettings {
  /// Time to live of the closing keys. Their lease is used for new keys only while `min_lease_left`
  /// of it is left, so a key outlasts a write of a submission that takes effect late: up to 6 s in
  /// tests, 12 s by the platform's documentation.
  std::chrono::milliseconds lease_ttl{60000};
  Duration min_lease_left = std::chrono::seconds(30);
  /// Timeout of one write. The store answers within 250 ms when it is slow.
  Duration call_timeout = std::chrono::milliseconds(400);
  /// Pause after a write that the store has refused or not answered.
  Duration retry_pause = std::chrono::milliseconds(50);
  /// Minimum interval of writes, so that a burst of refusals costs a host 40 writes a second.
  Duration write_interval = std::chrono::milliseconds(25);
  /// Most submissions in one write. Each takes two of the 32 entries that the store accepts.
  std::size_t max_per_write = 16;
  /// Most submissions that wait for their write.
  std::size_t max_waiting = 2000;
};

/// \returns the settings for cancels of submissions that are not in the store.
SubmissionCloserSettings CancelCloserSettings();

/// \brief Closes submissions in the store before they are refused, or their cancel is answered.
///
/// A host does not know what other hosts do with attempts of the same submission: one may have
/// stored it, and a write of another may take effect seconds later. A closed submission is not
/// stored, and no attempt whose write was made before can store it any more, because the write of a
/// submission requires the closing key at the revision that its host knew. A later attempt opens
/// it again with that revision.
///
/// Load: bursts of refusals. The submissions that wait share one write, and one write is under way
/// at a time. Not thread-safe.
class SubmissionCloser {
 public:
  /// Functions of the process that the closer depends on.
  struct Callbacks {
    StorePort store;
    std::function<bool()> is_store_reachable;
  };
  enum class Status {
    kClosed,   ///< closed, and not stored
    kStored,   ///< an attempt has stored it
    kUnknown,  ///< the store has not decided it in time
  };
  struct Result {
    Status status = Status::kUnknown;
    /// kClosed: the closing key, of which only the revision is set. kStored: the cell's key.
    StoreItem item;
  };
  using Callback = std::function<void(const Result&)>;

  SubmissionCloser(const SubmissionCloserSettings& settings, Callbacks callbacks);

  /// \brief Closes a submission with a write that is sent from now on.
  /// \param until time after which the result is kUnknown at the next tick
  /// \param done called exactly once, before or after this function returns
  void Close(const SubmissionId& id, TimePoint until, const Callback& done);

  /// \brief Sends the write that is due, and ends what has waited too long.
  void Tick(TimePoint now);

  /// \brief Ends all waiting submissions as unknown by the first tick at or after \a end_at.
  void BeginStop(TimePoint end_at) { this->end_at = end_at; }

  /// \returns the number of submissions without a result.
  std::size_t open() const { return this->waiting.size() + this->sent.size(); }
  /// \returns the number of writes sent.
  std::size_t writes() const { return this->write_count; }

 private:
  struct Entry {
    SubmissionId id;
    TimePoint until;
    Callback done;
  };

  void EndExpired();
  /// Sends the next write, or asks for a lease first.
  void SendDue();
  void AskForLease();
  void SendWrite();
  void OnWritten(const StoreReply& reply);

  SubmissionCloserSettings settings;
  Callbacks callbacks;
  TimePoint now{};            ///< time of the last tick
  TimePoint next_write_at{};  ///< earliest time of the next write
  bool call_open = false;     ///< a write or a grant has no reply yet
  std::uint64_t lease = 0;    ///< 0 while there is none
  TimePoint lease_usable_until{};
  std::optional<TimePoint> end_at;  ///< see BeginStop()
  std::list<Entry> waiting;         ///< not in a write
  std::list<Entry> sent;            ///< in the write that has no reply yet
  std::size_t write_count = 0;
};

}  // namespace pistachio
