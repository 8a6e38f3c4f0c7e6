// The agent's part in giving out room on its engine: answers the entries'
// requests by the order of RoomQueue.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bambooquay/core/engine_report.h"
#include "bambooquay/peers/status_messages.h"
#include "bambooquay/runtime/event_loop.h"
#include "bambooquay/runtime/metrics.h"
#include "bambooquay/scheduling/engine_work_estimator.h"
#include "bambooquay/scheduling/reading_pause.h"
#include "bambooquay/scheduling/room_queue.h"
#include "bambooquay/scheduling/work_prediction.h"
#include "bambooquay/serving/prompt_cache_view.h"

namespace bambooquay {

/// What the configuration says of the room on an engine.
struct RoomBounds {
  /// Longest pause that the streams of its service may have; zero for no bound.
  Duration max_pause{};
  std::size_t places = 0;  ///< Calls that run at the same time; 0 if unknown.
};

/// Room on one engine for the calls of all entries. Its state is lost with the
/// agent: calls then go to the engine as if there were no agent, and those that
/// come later build the state up again.
class EngineRooms {
 public:
  using SendReply = std::function<void(const Endpoint&, const RoomReply&)>;

  EngineRooms(EventLoop& loop, Metrics& metrics, EngineWorkEstimator& estimator,
              SendReply send_reply);

  void HandleRequest(const Endpoint& sender_address,
                     const RoomRequest& request);
  void HandleRelease(const RoomRelease& release);
  /// Takes what bounds the room from a report that the estimator has got.
  /// @param restarted  whether it is the first report of a run of the engine.
  void RecordReport(const EngineReport& report, const RoomBounds& bounds,
                    bool restarted);
  /// Records that the engine did not answer. Calls are denied room until it
  /// reports again.
  void RecordMissedReport();
  /// @returns the work of the engine with that of the calls that wait for room.
  [[nodiscard]] EngineWork TotalWork() const;
  /// @returns the shared parts of the prompts that were announced since about
  ///   two reports.
  [[nodiscard]] std::vector<AnnouncedPrefix> TakeReadPrefixes();

 private:
  /// A request that gets another reply.
  struct PendingRequest {
    Endpoint sender_address;
    std::uint64_t request_id = 0;
    RoomCall call;
    PromptPrefixes prompt;
    TimePoint asked_at{};
  };

  [[nodiscard]] double UnreadTokens(const RoomRequest& request,
                                    const PromptPrefixes& prompt) const;
  void Announce(const RoomCall& call, const PromptPrefixes& prompt);
  /// @returns the time to the first event of a call that is sent now; zero if
  ///   it is not known.
  [[nodiscard]] Duration ExpectedFirstEvent(const RoomCall& call) const;
  void Send(const std::vector<RoomDecision>& decisions);
  void DenyUnreachable(const Endpoint& sender_address,
                       std::uint64_t request_id);
  /// Has the queue decide now, and again later while calls wait.
  void Decide();
  void RestartTimer();

  EventLoop& m_loop;
  Metrics& m_metrics;
  EngineWorkEstimator& m_estimator;
  SendReply m_send_reply;
  EngineRoom m_engine;
  bool m_is_reachable = true;
  RoomQueue m_queue;
  ReadingPause m_reading_pause;
  /// Whether calls have had room all the time since the last report.
  bool m_has_read = false;
  PromptCacheView m_prompt_cache;
  /// Shared parts of announced prompts, with the times of their announcement.
  std::deque<std::pair<TimePoint, AnnouncedPrefix>> m_read_prefixes;
  std::unordered_map<RequestId, PendingRequest> m_pending;
  std::unique_ptr<Timer> m_timer;
};

}  // namespace bambooquay
