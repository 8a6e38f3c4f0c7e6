// Properties of the quarantine with servers that crash in each form.
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "bambooquay/serving/prompt_quarantine.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Prompt = std::vector<PromptPart>;

constexpr std::uint64_t kDeadly = 0xdead;
constexpr std::uint64_t kBeginning = 1;
constexpr Duration kStep = milliseconds(10);
constexpr Duration kRestartTime = seconds(3);

/// When a deadly call takes its engine with it.
enum class CrashForm : std::uint8_t { kBeforeHead, kAfterHead, kAfterEvents };

/// What breaks calls besides the deadly part.
struct Trouble {
  int deadly_percent = 0;
  CrashForm form = CrashForm::kAfterHead;
  /// From the start of an engine's run until its row shows it.
  int max_listing_lag_ms = 0;
  /// Of 100 calls, those whose connection breaks though their engine goes on.
  int broken_percent = 0;
  /// At 8 s, this many engines end at once.
  int lost_engines = 0;
  /// Deadly calls come this many at the same moment, at all entries by turns.
  int deadly_at_once = 1;
  Duration burst_interval{};
};

/// Five entries and 18 engines; 17 streams a second begin with the same part.
/// Entries exchange reports every 150 ms, some of which are late or lost.
class Simulation {
 public:
  Simulation(std::uint32_t seed, const Trouble& trouble)
      : m_random(seed), m_trouble(trouble), m_engines(kEngines) {
    for (int i = 0; i < kEntries; ++i) {
      m_entries.push_back(std::make_unique<PromptQuarantine>(m_clock));
      m_entries.back()->SetRunFinder(
          [this](const UpstreamId& id) { return FindListedRun(id); });
      m_entries.back()->SetTrialChooser(
          [i](PromptPartId /*part*/, std::uint64_t turn) {
            return static_cast<int>(turn % kEntries) == i;
          });
    }
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      m_clock.Advance(kStep);
      if (Below(100) < 17) {
        Arrive(Below(100) < m_trouble.deadly_percent,
               static_cast<std::size_t>(Below(kEntries)));
      }
      if (m_trouble.deadly_at_once > 1 &&
          step % (m_trouble.burst_interval / kStep) == 100) {
        for (int i = 0; i < m_trouble.deadly_at_once; ++i) {
          Arrive(true, static_cast<std::size_t>(i % kEntries));
        }
      }
      if (step == kSteps / 3) {
        for (std::size_t i = 0; i < Lost(); ++i) {
          End(i);
        }
      }
      Progress();
      if (step % 10 == 0) {
        std::ranges::for_each(m_entries,
                              [](const auto& entry) { entry->Update(); });
      }
      if (step % 15 == 0) {
        Send();
      }
      Deliver();
    }
  }

  int sound_calls = 0;
  int sound_refused = 0;
  int late_deadly_calls = 0;
  std::vector<TimePoint> crashes;

 private:
  static constexpr int kEntries = 5;
  static constexpr std::size_t kEngines = 18;
  static constexpr int kSteps = 2500;

  struct Call {
    Prompt prompt;
    std::size_t entry;
    std::size_t engine;
    UpstreamRun run;  ///< As listed when it was sent.
    bool is_deadly;
    TimePoint sent_at;
    TimePoint begins_at;
    TimePoint first_event_at;
    TimePoint ends_at;  ///< When it is complete, or crashes its engine.
    bool breaks = false;
    bool has_reported_event = false;
    Duration reported_lasting{};
  };
  struct Engine {
    std::int64_t run = 1;
    std::int64_t listed_run = 1;
    TimePoint back_at{};
    TimePoint listed_at{};
  };
  struct Message {
    TimePoint arrives_at;
    std::size_t receiver;
    PromptPartReports reports;
  };

  int Below(int bound) {
    return static_cast<int>(m_random() % static_cast<unsigned>(bound));
  }
  [[nodiscard]] std::size_t Lost() const {
    return static_cast<std::size_t>(m_trouble.lost_engines);
  }
  static UpstreamId IdOf(std::size_t engine) {
    return UpstreamId("i-" + std::to_string(engine));
  }
  [[nodiscard]] std::optional<UpstreamRun> FindListedRun(const UpstreamId& id) {
    const auto engine =
        static_cast<std::size_t>(std::stoi(id.value().substr(2)));
    Engine& found = m_engines[engine];
    if (m_clock.Now() >= found.listed_at) {
      found.listed_run = found.run;
    }
    return UpstreamRun{id, found.listed_run};
  }

  void Arrive(bool is_deadly, std::size_t entry) {
    const TimePoint now = m_clock.Now();
    const auto topic = 10 + static_cast<std::uint64_t>(Below(20));
    Prompt prompt = {{PromptPartId{kBeginning}, 100.0}};
    if (is_deadly) {
      prompt.push_back({PromptPartId{kDeadly}, 100.0});
    }
    prompt.push_back({PromptPartId{topic}, 100.0});
    prompt.push_back({PromptPartId{++m_last_part}, 100.0});
    const bool is_refused =
        m_entries[entry]->Judge(prompt) == PromptVerdict::kQuarantined;
    sound_calls += is_deadly ? 0 : 1;
    sound_refused += !is_deadly && is_refused ? 1 : 0;
    if (is_refused) {
      return;
    }
    auto engine = static_cast<std::size_t>(Below(kEngines));
    for (std::size_t i = 0; i < kEngines && m_engines[engine].back_at > now;
         ++i) {
      // Entries do not know which engines are away, but avoid most of them.
      if (Below(4) == 0) {
        m_entries[entry]->RecordUnreachable(*FindListedRun(IdOf(engine)));
      }
      engine = (engine + 1) % kEngines;
    }
    if (is_deadly && crashes.size() >= 5 && now - crashes[4] > seconds(3)) {
      ++late_deadly_calls;
    }
    Call call{std::move(prompt),
              entry,
              engine,
              *FindListedRun(IdOf(engine)),
              is_deadly,
              now,
              {},
              {},
              {}};
    call.begins_at = now + milliseconds(50 + Below(200));
    call.first_event_at = call.begins_at + milliseconds(30 + Below(90));
    call.ends_at = call.first_event_at + milliseconds(500 + Below(2500));
    call.breaks = !is_deadly && Below(100) < m_trouble.broken_percent;
    if (call.breaks) {
      call.ends_at = now + milliseconds(Below(600));
    }
    if (is_deadly) {
      const TimePoint crash_at = call.first_event_at;
      if (m_trouble.form == CrashForm::kBeforeHead) {
        call.begins_at = crash_at + seconds(1);
      }
      call.first_event_at = m_trouble.form == CrashForm::kAfterEvents
                                ? call.begins_at + milliseconds(1 + Below(20))
                                : crash_at + seconds(1);
      call.ends_at = crash_at;
    }
    m_calls.push_back(std::move(call));
  }

  void Break(const Call& call) {
    const TimePoint now = m_clock.Now();
    const bool has_begun = call.begins_at <= now;
    m_entries[call.entry]->RecordBroken(
        call.prompt, call.run, has_begun ? call.begins_at : call.sent_at,
        has_begun,
        call.first_event_at <= now ? CallProgress(now - call.first_event_at)
                                   : kNoEvent);
  }

  /// The engine's process ends, and breaks all its calls.
  void End(std::size_t engine) {
    const TimePoint now = m_clock.Now();
    std::erase_if(m_calls, [&](const Call& call) {
      if (call.engine != engine) {
        return false;
      }
      Break(call);
      return true;
    });
    Engine& ended = m_engines[engine];
    ++ended.run;
    ended.back_at = now + kRestartTime;
    ended.listed_at =
        ended.back_at + milliseconds(Below(m_trouble.max_listing_lag_ms + 1));
  }

  void Progress() {
    const TimePoint now = m_clock.Now();
    for (Call& call : m_calls) {
      PromptQuarantine& entry = *m_entries[call.entry];
      if (now < call.first_event_at) {
        continue;
      }
      entry.RecordProgress(call.run, call.sent_at);
      const Duration lasted = now - call.first_event_at;
      if (!call.has_reported_event ||
          lasted >=
              std::max(call.reported_lasting * 2, Duration(milliseconds(50)))) {
        call.has_reported_event = true;
        call.reported_lasting = lasted;
        entry.RecordSurvival(call.prompt, call.begins_at, lasted);
      }
    }
    for (;;) {
      const auto ended = std::ranges::find_if(
          m_calls, [&](const Call& call) { return call.ends_at <= now; });
      if (ended == m_calls.end()) {
        return;
      }
      if (ended->is_deadly) {
        crashes.push_back(now);
        End(ended->engine);
        continue;
      }
      if (ended->breaks) {
        Break(*ended);
      } else {
        m_entries[ended->entry]->RecordSurvival(ended->prompt, ended->begins_at,
                                                kCompleteCall);
      }
      m_calls.erase(ended);
    }
  }

  void Send() {
    const TimePoint now = m_clock.Now();
    for (std::size_t sender = 0; sender < m_entries.size(); ++sender) {
      const PromptPartReports reports = m_entries[sender]->MakeReports();
      for (std::size_t receiver = 0; receiver < m_entries.size(); ++receiver) {
        if (receiver != sender && Below(10) > 0) {
          m_messages.push_back(
              {now + milliseconds(Below(10) == 0 ? Below(300) : Below(20)),
               receiver, reports});
        }
      }
    }
  }

  void Deliver() {
    const TimePoint now = m_clock.Now();
    std::erase_if(m_messages, [&](const Message& message) {
      if (message.arrives_at > now) {
        return false;
      }
      m_entries[message.receiver]->Merge(message.reports);
      return true;
    });
  }

  std::mt19937 m_random;
  Trouble m_trouble;
  ManualClock m_clock;
  std::vector<Engine> m_engines;
  std::vector<std::unique_ptr<PromptQuarantine>> m_entries;
  std::vector<Call> m_calls;
  std::vector<Message> m_messages;
  std::uint64_t m_last_part = 1'000'000;
};

void CheckDeadly(CrashForm form, int max_listing_lag_ms) {
  Simulation simulation(*rc::gen::arbitrary<std::uint32_t>(),
                        {.deadly_percent = *rc::gen::inRange(2, 12),
                         .form = form,
                         .max_listing_lag_ms = max_listing_lag_ms});
  simulation.Run();
  RC_ASSERT(simulation.late_deadly_calls <= 3);
  RC_ASSERT(simulation.sound_refused * 20 <= simulation.sound_calls);
}

void CheckSound(const Trouble& trouble) {
  Simulation simulation(*rc::gen::arbitrary<std::uint32_t>(), trouble);
  simulation.Run();
  RC_ASSERT(simulation.sound_refused * 100 <= simulation.sound_calls);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_forms)

RC_BOOST_PROP(few_deadly_calls_arrive_that_crash_before_the_head, ()) {
  CheckDeadly(CrashForm::kBeforeHead, 0);
}

RC_BOOST_PROP(few_deadly_calls_arrive_that_crash_after_the_head, ()) {
  CheckDeadly(CrashForm::kAfterHead, 0);
}

RC_BOOST_PROP(few_deadly_calls_arrive_that_crash_after_events, ()) {
  CheckDeadly(CrashForm::kAfterEvents, 0);
}

RC_BOOST_PROP(few_deadly_calls_arrive_where_rows_follow_late, ()) {
  CheckDeadly(CrashForm::kBeforeHead, 500);
  CheckDeadly(CrashForm::kAfterEvents, 500);
}

RC_BOOST_PROP(few_deadly_calls_arrive_that_come_at_one_moment, ()) {
  const auto form =
      *rc::gen::element(CrashForm::kBeforeHead, CrashForm::kAfterHead);
  Simulation simulation(*rc::gen::arbitrary<std::uint32_t>(),
                        {.form = form,
                         .max_listing_lag_ms = 500,
                         .deadly_at_once = *rc::gen::inRange(3, 8),
                         .burst_interval = seconds(*rc::gen::inRange(5, 9))});
  simulation.Run();
  RC_ASSERT(simulation.late_deadly_calls <= 3);
  RC_ASSERT(simulation.sound_refused * 20 <= simulation.sound_calls);
}

RC_BOOST_PROP(connections_that_break_make_no_quarantine, ()) {
  CheckSound({.broken_percent = 30});
}

RC_BOOST_PROP(the_loss_of_half_of_the_engines_makes_no_quarantine, ()) {
  CheckSound({.broken_percent = 5, .lost_engines = 9});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
