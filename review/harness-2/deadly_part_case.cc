// Plays requests with a part that crashes servers, beside sound requests, and
// checks one of two rules. How many of them reach servers once the system
// should know the part:
//
//   BUDGET. More than three requests with a part that crashes servers, new ones
//   or repeats, reach servers, sent by machines in touch later than
//   stabilityWindowMs after the fifth crash.
//
// And whether sound requests go on being served:
//
//   LOST. From 2 x stabilityWindowMs after the fifth crash, while such requests
//   still come, sound requests of their route with the same key or first part
//   begin at the first attempt less than half as often as outside unplanned
//   disruption (20 or more of each).
//
// Exits with 1 if the rule is broken, with 0 if it holds, and with 2 if the
// case cannot run. Without the disruption the same requests are sent, and the
// part crashes no server.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "small_fleet.h"

namespace bambooquay::review {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kStabilityWindowS = 3.0;
constexpr std::size_t kCrashesToLearn = 5;
constexpr std::ptrdiff_t kMaxLateArrivals = 3;
constexpr Duration kStep = milliseconds(50);
constexpr int kStepsPerSecond = 20;
// No round starts later than this, so that the last one ends in time.
constexpr double kMaxStartS = 85.0;
constexpr int kExitBroken = 1;
constexpr int kExitCannotRun = 2;

/// When requests with the deadly part are sent, how prompts look, and whether
/// all entries are killed once.
struct Scenario {
  std::string_view name;
  int length_s = 40;
  /// Steps between two sendings of the deadly part.
  int deadly_interval_steps = 24;
  /// Requests that are sent at the same moment, at different entries.
  int deadly_at_once = 1;
  /// Digits of the id of a part.
  int id_digits = 8;
  /// Parts of a prompt before the deadly one, and after it.
  int parts_before = 1;
  int parts_after = 0;
  /// When all entries are killed; 0 if they are not.
  int kill_at_s = 0;
  int servers = 18;
  /// Time of sound requests only, at the start.
  int calm_s = 0;
  /// Steps at the start in which the deadly part comes more often, and how
  /// often.
  int burst_steps = 0;
  int burst_interval_steps = 1;
  /// Entries that sound requests come to; the deadly part comes to all.
  int sound_entries = SmallFleet::kEntries;
  /// Whether to check LOST instead of BUDGET.
  bool checks_sound = false;
  /// How often the scenario is played, each time with a new fleet, unless the
  /// rule is broken before.
  int rounds = 1;
};

constexpr Scenario kScenarios[] = {
    {.name = "outage",
     .length_s = 12,
     .deadly_interval_steps = 8,
     .servers = 12,
     .calm_s = 3,
     .burst_steps = 30,
     .burst_interval_steps = 2,
     .sound_entries = 4,
     .checks_sound = true,
     .rounds = 7},
    {.name = "plain"},
    {.name = "long-ids", .id_digits = 32},
    {.name = "many-parts", .parts_before = 17, .parts_after = 1},
    {.name = "at-once", .deadly_interval_steps = 160, .deadly_at_once = 6},
    {.name = "restart",
     .length_s = 75,
     .deadly_interval_steps = 30,
     .kill_at_s = 15},
    {.name = "no-kill", .length_s = 75, .deadly_interval_steps = 30},
};

/// @returns the id of a part, in hexadecimal.
std::string PartId(const Scenario& scenario, unsigned number) {
  std::string id(static_cast<std::size_t>(scenario.id_digits), '0');
  // Spreads small numbers over the digits, as a hash does.
  std::uint64_t state = number * 0x9e3779b97f4a7c15ULL + 1;
  for (char& digit : id) {
    state ^= state >> 29;
    state *= 0xbf58476d1ce4e5b9ULL;
    digit = "0123456789abcdef"[state >> 60];
  }
  return id;
}

constexpr unsigned kDeadlyNumber = 7777;
constexpr unsigned kSubjectNumber = 20000;
constexpr unsigned kOwnNumber = 100000;

/// @returns the parts of a prompt. Sound and deadly prompts share the parts
///   before and after the second to last kind of part; the last part is the
///   request's own.
std::string Prompt(const Scenario& scenario, unsigned own, bool is_deadly) {
  std::string prompt;
  for (int i = 0; i < scenario.parts_before; ++i) {
    prompt += PartId(scenario, static_cast<unsigned>(100 + i)) + ":400,";
  }
  const unsigned subject = kSubjectNumber + own % 33;
  prompt += PartId(scenario, is_deadly ? kDeadlyNumber : subject) + ":410,";
  for (int i = 0; i < scenario.parts_after; ++i) {
    prompt += PartId(scenario, static_cast<unsigned>(200 + i)) + ":300,";
  }
  return prompt + PartId(scenario, kOwnNumber + own) + ":250";
}

/// Plays one scenario.
class DeadlyPartCase {
 public:
  DeadlyPartCase(const Scenario& scenario, bool has_trouble,
                 const std::string& programs, const std::string& directory,
                 Record& record)
      : m_scenario(scenario),
        m_has_trouble(has_trouble),
        m_record(record),
        m_fleet(m_loop, m_record, programs, directory, scenario.servers) {}

  int Run() {
    if (!m_fleet.Start()) {
      m_record.Tell("the fleet does not serve");
      return kExitCannotRun;
    }
    m_record.Tell("the fleet serves; requests begin");
    if (m_has_trouble) {
      m_fleet.SetDeadlyPart(PartId(m_scenario, kDeadlyNumber));
    }
    for (int step = 0; step < m_scenario.length_s * kStepsPerSecond; ++step) {
      Play(step);
      m_fleet.Wait(kStep);
    }
    m_fleet.Wait(m_scenario.checks_sound ? seconds(1) : seconds(5));
    return m_scenario.checks_sound ? JudgeSound() : Judge();
  }

 private:
  void Play(int step) {
    if (m_scenario.kill_at_s > 0 && m_has_trouble) {
      // Half a second passes until the platform starts the processes again.
      constexpr int kRestartSteps = kStepsPerSecond / 2;
      const int killed_at = m_scenario.kill_at_s * kStepsPerSecond;
      if (step == killed_at) {
        m_killed_at = m_record.Seconds();
        m_record.Tell("all entries are killed");
        m_fleet.KillEntries();
      } else if (step == killed_at + kRestartSteps) {
        m_fleet.StartEntries();
        m_in_touch_from = m_record.Seconds() + kStabilityWindowS;
        m_record.Tell("all entries start again");
      }
    }
    // Sound requests at 20 a second.
    Send(false);
    const int since = step - m_scenario.calm_s * kStepsPerSecond;
    const int interval = since < m_scenario.burst_steps
                             ? m_scenario.burst_interval_steps
                             : m_scenario.deadly_interval_steps;
    if (since >= 0 && since % interval == 0) {
      for (int i = 0; i < m_scenario.deadly_at_once; ++i) {
        Send(true);
      }
    }
  }

  void Send(bool is_deadly) {
    // Each third sound request may run only once.
    const int entries =
        is_deadly ? SmallFleet::kEntries : m_scenario.sound_entries;
    unsigned& count = is_deadly ? m_sent_deadly : m_sent;
    m_requests.push_back(m_fleet.Send(
        {static_cast<int>(count++ % static_cast<unsigned>(entries)) + 1,
         Prompt(m_scenario, m_sent + m_sent_deadly, is_deadly), is_deadly,
         is_deadly || m_sent % 3 != 0}));
  }

  int JudgeSound() {
    const auto& crashes = m_fleet.crashes();
    if (crashes.empty()) {
      m_record.Tell("no crash: the rule holds");
      return 0;
    }
    const double from = crashes[std::min(kCrashesToLearn, crashes.size()) - 1] +
                        2 * kStabilityWindowS;
    double last_deadly = 0.0;
    for (const auto& sent : m_requests) {
      last_deadly = sent->is_deadly ? sent->sent_at : last_deadly;
    }
    // Requests of the route of the deadly ones.
    const auto count = [&](double begin, double end) {
      int sent_count = 0;
      int begun_count = 0;
      for (const auto& sent : m_requests) {
        if (!sent->is_deadly && sent->is_resumable && sent->sent_at >= begin &&
            sent->sent_at < end) {
          ++sent_count;
          begun_count += m_fleet.arrived().contains(sent->id) ? 1 : 0;
        }
      }
      return std::pair(sent_count, begun_count);
    };
    const auto [calm, calm_begun] = count(0.0, crashes.front() - 1.0);
    const auto [late, late_begun] = count(from, last_deadly);
    m_record.Tell("sound requests of the route that reached a server: " +
                  std::to_string(calm_begun) + " of " + std::to_string(calm) +
                  " in calm, " + std::to_string(late_begun) + " of " +
                  std::to_string(late) + " from 6 s after the fifth crash");
    constexpr int kMinRequests = 20;
    if (calm < kMinRequests || late < kMinRequests) {
      m_record.Tell("too few requests to judge");
      return kExitCannotRun;
    }
    const bool is_broken = late_begun * calm * 2 < calm_begun * late;
    m_record.Tell(is_broken ? "LOST is broken" : "LOST holds");
    return is_broken ? kExitBroken : 0;
  }

  int Judge() {
    const auto& crashes = m_fleet.crashes();
    const auto& arrivals = m_fleet.deadly_arrivals();
    const auto served = std::ranges::count_if(m_requests, [](const auto& sent) {
      return !sent->is_deadly && sent->complete && sent->status == 200;
    });
    const auto sound = std::ranges::count_if(
        m_requests, [](const auto& sent) { return !sent->is_deadly; });
    const auto lost = std::ranges::count_if(m_requests, [](const auto& sent) {
      return !sent->is_deadly && !sent->is_resumable &&
             (!sent->complete || sent->status == 502 || sent->status == 504);
    });
    m_record.Tell(std::to_string(served) + " of " + std::to_string(sound) +
                  " sound requests served, " + std::to_string(lost) +
                  " that may run once lost, " + std::to_string(crashes.size()) +
                  " crashes, " + std::to_string(arrivals.size()) +
                  " arrivals with the deadly part");
    if (served * 4 < sound) {
      m_record.Tell("the fleet does not serve sound requests");
      return kExitCannotRun;
    }
    if (crashes.size() < kCrashesToLearn) {
      m_record.Tell("fewer than five crashes: the rule holds");
      return 0;
    }
    const double known_at = crashes[kCrashesToLearn - 1] + kStabilityWindowS;
    const auto late = std::ranges::count_if(arrivals, [&](double at) {
      const bool in_touch = !m_in_touch_from.has_value() ||
                            at > *m_in_touch_from || at < m_killed_at;
      return at > known_at && in_touch;
    });
    m_record.Tell("fifth crash at " +
                  std::to_string(crashes[kCrashesToLearn - 1]) +
                  " s; from machines in touch, later than 3 s after it: " +
                  std::to_string(late) + " arrivals, of which 3 are allowed");
    const double from = std::max(known_at, m_in_touch_from.value_or(0.0));
    const auto cut = std::ranges::count_if(m_requests, [&](const auto& sent) {
      return !sent->is_deadly && sent->sent_at > from &&
             (!sent->complete || sent->status == 502 || sent->status == 504);
    });
    m_record.Tell("sound requests sent from then on that were cut off: " +
                  std::to_string(cut));
    const bool is_broken = late > kMaxLateArrivals;
    m_record.Tell(is_broken ? "BUDGET is broken" : "BUDGET holds");
    return is_broken ? kExitBroken : 0;
  }

  const Scenario& m_scenario;
  const bool m_has_trouble;
  EventLoop m_loop;
  Record& m_record;
  SmallFleet m_fleet;
  unsigned m_sent = 0;
  unsigned m_sent_deadly = 0;
  std::vector<std::shared_ptr<ClientRequest>> m_requests;
  /// From when on entries that were started again are in touch.
  std::optional<double> m_in_touch_from;
  double m_killed_at = 0.0;
};

int RunCase(const std::vector<std::string>& arguments) {
  if (arguments.size() != 4) {
    std::cerr << "usage: deadly-part-case SCENARIO PROGRAMS DIRECTORY RECORD\n";
    return kExitCannotRun;
  }
  const auto* scenario =
      std::ranges::find(kScenarios, arguments[0], &Scenario::name);
  if (scenario == std::end(kScenarios)) {
    std::cerr << "no scenario " << arguments[0] << '\n';
    return kExitCannotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  try {
    Record record(arguments[3]);
    int result = 0;
    for (int round = 1; round <= scenario->rounds && result == 0; ++round) {
      if (record.Seconds() > kMaxStartS) {
        break;
      }
      record.Tell("round " + std::to_string(round));
      DeadlyPartCase played(*scenario, has_trouble, arguments[1], arguments[2],
                            record);
      result = played.Run();
    }
    return result;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kExitCannotRun;
  }
}

}  // namespace
}  // namespace bambooquay::review

int main(int argc, char** argv) {
  return bambooquay::review::RunCase(
      std::vector<std::string>(argv + 1, argv + argc));
}
