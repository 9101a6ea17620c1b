#pragma once

#include <algorithm>
#include <map>
#include <memory>

#include "pistachio/connection/store/calls.h"

namespace pistachio {

/// \brief Prefix and timing of a PrefixMirror.
struct MirrorSettings {
  std::string prefix;
  /// Longest time that the store holds a watch open. A watch without an answer is given up after
  /// `watch_wait + answer_slack`, so a dead connection delays the report of a change by about that
  /// sum.
  std::chrono::milliseconds watch_wait{1000};
  /// Time for a watch's answer to arrive after the wait has ended.
  std::chrono::milliseconds answer_slack{500};
  std::chrono::milliseconds read_timeout{800};  ///< timeout of the read of one page of keys
  /// Added to the timeout of a call that follows one whose answer was cut off. The store sends the
  /// whole answer again, so a value that takes longer than the timeout to arrive would never do so.
  /// A call on a connection that stopped responding takes that much longer to fail.
  std::chrono::milliseconds cut_off_extension{0};
  /// Delay of the next watch after one that returned changes. Without a delay, changes that arrive
  /// one by one cost a call each.
  Duration change_pause{0};
  /// Delay before a failed call is retried.
  std::chrono::milliseconds retry_pause{100};
};

/// \brief Local copy of all keys with a prefix; reads all of them, then watches for changes.
///
/// After a failed watch the next one resumes from the last revision seen. If the store no longer
/// has the history from that revision on, all keys are read again. Not thread-safe; used on the
/// control thread only.
class PrefixMirror {
 public:
  /// Called for each key that was written, or removed if `removed` is set; the item of a removed
  /// key holds its last value.
  using OnChange = std::function<void(const StoreItem&)>;
  /// Called after every full read: the first one, and each one after lost history.
  using OnLoaded = std::function<void()>;

  PrefixMirror(MirrorSettings settings, StorePort store, OnChange on_change, OnLoaded on_loaded);
  ~PrefixMirror() { this->Stop(); }
  PrefixMirror(const PrefixMirror&) = delete;
  PrefixMirror& operator=(const PrefixMirror&) = delete;

  /// \brief Discards the copy and starts a full read. \param now current time, as for Tick()
  void Start(TimePoint now);

  /// \brief Stops sending calls; replies to calls in flight are ignored.
  void Stop();

  /// \brief Sends the next call if it is due and none is in flight.
  void Tick(TimePoint now);

  /// \brief Asks for a copy that is valid later than \a time.
  ///
  /// Unless valid_at() is later, the next Tick() reads all keys again, without a change pause, and
  /// gives up a watch in flight. The answer to a watch would not do: the store limits the number of
  /// changes in it, so a mirror that pauses may be many changes behind. The pause after a failed
  /// call remains.
  void RequireValidAfter(TimePoint time) {
    this->state->required_after = std::max(this->state->required_after, time);
  }

  /// \brief Changes MirrorSettings::watch_wait, from the next watch on.
  void SetWatchWait(std::chrono::milliseconds wait) { this->settings.watch_wait = wait; }

  /// \brief Changes MirrorSettings::change_pause.
  void SetChangePause(Duration pause) { this->settings.change_pause = pause; }

  /// \returns true after the first full read.
  bool loaded() const { return this->state->loaded; }

  /// \returns the time of the last Tick() before the latest answer that brought the copy, or a page
  /// of a full read, up to date, or the time of Start() if there is none. Failed calls and answers
  /// that the history is lost do not count. For a call with an extended timeout it is the time at
  /// which the call was sent, because its answer may take seconds to arrive.
  TimePoint confirmed_at() const { return this->state->confirmed_at; }

  /// \returns a time at which the store had the state of the copy: the time of the last Tick()
  /// before the call was sent that last brought the whole copy up to date, plus the wait of a watch
  /// that ended without changes. The time for which the answer was on its way, or not handled yet,
  /// does not count. The time of Start() if there is no such call.
  TimePoint valid_at() const { return this->state->valid_at; }

  /// \returns a store revision up to which the copy contains all changes.
  std::uint64_t revision() const { return this->state->revision; }

  /// \returns the copy, by key.
  const std::map<std::string, StoreItem>& items() const { return this->state->items; }

 private:
  struct State {
    std::map<std::string, StoreItem> items;       ///< the copy, by key
    std::map<std::string, StoreItem> page_items;  ///< pages of a full read under way
    std::string last_key;                         ///< last key of the pages read so far
    std::uint64_t revision = 0;             ///< store revision after which the next watch starts
    std::uint64_t first_page_revision = 0;  ///< store revision of the first page
    /// Rises with each Start() and Stop(), and when a watch is given up. Replies to calls of
    /// earlier generations are ignored.
    std::uint64_t generation = 0;
    bool loaded = false;     ///< a full read has finished
    bool reading = true;     ///< a full read is under way, else the mirror watches
    bool in_flight = false;  ///< a call has no reply yet
    bool running = false;    ///< between Start() and Stop()
    bool failed = false;     ///< the last call failed for another reason than lost history
    std::chrono::milliseconds wait{0};  ///< of the last watch
    bool cut_off = false;            ///< a part of the last call's answer arrived before it failed
    TimePoint now{};                 ///< time of the last Tick()
    TimePoint next_call{};           ///< earliest time of the next call
    TimePoint sent_at{};             ///< time of the last Tick() before the last call was sent
    TimePoint first_page_sent_at{};  ///< `sent_at` of the first page of a full read
    TimePoint confirmed_at{};        ///< see PrefixMirror::confirmed_at()
    TimePoint valid_at{};            ///< see PrefixMirror::valid_at()
    TimePoint required_after = TimePoint::min();  ///< see RequireValidAfter()

    /// Returns true if a more recent copy is asked for.
    bool outdated() const { return this->valid_at <= this->required_after; }
  };

  void SendNextCall();
  void OnReply(const StoreReply& reply);
  void OnPage(const StoreReply& reply);
  void OnEvents(const StoreReply& reply);
  void FinishReading();
  void OnFailure(const StoreReply& reply);

  MirrorSettings settings;
  StorePort store;
  OnChange on_change;
  OnLoaded on_loaded;
  std::shared_ptr<State> state = std::make_shared<State>();
};

}  // namespace pistachio
