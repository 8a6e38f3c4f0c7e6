// Compares three schemes for sharing an organisation's allowance among entries:
// a static split, one owner under a lease, and the escrow shares of the
// product. Prints how many requests each scheme refuses although they are
// within the rate, and how far the admitted tokens exceed the rate. All schemes
// get the same requests; an ideal central token bucket determines which of them
// are within the rate. Time is simulated; a message takes kOneWayLatency,
// as between data centres.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bambooquay/core/allowance_gate.h"
#include "bambooquay/core/allowance_ledger.h"
#include "bambooquay/core/clock.h"
#include "bambooquay/core/random.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 4000.0;    // Tokens per second.
constexpr double kBurst = 20000.0;  // Tokens.
constexpr std::size_t kEntries = 3;
constexpr Duration kOneWayLatency = milliseconds(1);
constexpr Duration kDuration = seconds(300);
const OrganisationId kOrganisation("org");

/// One request of the workload, which arrives at an entry.
struct Arrival {
  TimePoint at;
  std::size_t entry;
  double tokens;
};

/// A discrete-event simulation: runs scheduled actions in order of their time.
class Simulation {
 public:
  ManualClock clock;

  void At(TimePoint when, std::function<void()> action) {
    m_events.emplace(when, std::move(action));
  }
  void After(Duration delay, std::function<void()> action) {
    At(clock.Now() + delay, std::move(action));
  }
  void RunUntil(TimePoint end) {
    while (!m_events.empty() && m_events.begin()->first <= end) {
      auto event = m_events.extract(m_events.begin());
      if (event.key() > clock.Now()) {
        clock.Advance(event.key() - clock.Now());
      }
      event.mapped()();
    }
    if (clock.Now() < end) {
      clock.Advance(end - clock.Now());
    }
  }

 private:
  std::multimap<TimePoint, std::function<void()>> m_events;
};

using DecisionCallback = std::function<void(bool)>;

/// A scheme for sharing an allowance among entries.
class SharingScheme {
 public:
  SharingScheme() = default;
  SharingScheme(const SharingScheme&) = delete;
  SharingScheme& operator=(const SharingScheme&) = delete;
  virtual ~SharingScheme() = default;
  /// Requests `tokens` at an entry and tells the callback whether they are
  /// granted.
  virtual void Request(std::size_t entry, double tokens,
                       DecisionCallback on_decision) = 0;
  /// Ends an entry for the rest of the run.
  virtual void Kill(std::size_t entry) = 0;
};

/// Every entry has a fixed, equal fraction (1 / kEntries).
class StaticSplit final : public SharingScheme {
 public:
  explicit StaticSplit(Simulation& simulation) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      m_shares.push_back(std::make_unique<AllowanceShare>(
          simulation.clock, TokensPerSecond{kRate}, Tokens{kBurst}));
      m_shares.back()->Add({1.0 / kEntries, {kBurst / kEntries}});
    }
  }
  void Request(std::size_t entry, double tokens,
               DecisionCallback on_decision) override {
    on_decision(m_shares[entry]->TrySpend({tokens}).has_value());
  }
  void Kill(std::size_t /*entry*/) override {}

 private:
  std::vector<std::unique_ptr<AllowanceShare>> m_shares;
};

/// One entry owns the token bucket under a lease in the store's table; the
/// others ask it. After its death the next owner waits for the lease to expire
/// and starts with an empty bucket. Without the store there is no next owner.
class LeaseOwner final : public SharingScheme {
 public:
  LeaseOwner(Simulation& simulation, bool is_store_down)
      : m_simulation(simulation),
        m_is_store_down(is_store_down),
        m_bucket(std::make_unique<AllowanceShare>(
            simulation.clock, TokensPerSecond{kRate}, Tokens{kBurst})) {
    m_bucket->Add({1.0, {kBurst}});
  }
  void Request(std::size_t entry, double tokens,
               DecisionCallback on_decision) override {
    if (m_bucket == nullptr) {
      on_decision(false);
    } else if (entry == m_owner) {
      on_decision(m_bucket->TrySpend({tokens}).has_value());
    } else {
      m_simulation.After(kOneWayLatency, [this, tokens, on_decision] {
        const bool granted =
            m_bucket != nullptr && m_bucket->TrySpend({tokens}).has_value();
        m_simulation.After(kOneWayLatency,
                           [on_decision, granted] { on_decision(granted); });
      });
    }
  }
  void Kill(std::size_t entry) override {
    if (entry != m_owner) {
      return;
    }
    m_bucket = nullptr;
    if (m_is_store_down) {
      return;
    }
    constexpr Duration kLeaseDuration = seconds(5);
    m_simulation.After(kLeaseDuration, [this] {
      m_owner = (m_owner + 1) % kEntries;
      m_bucket = std::make_unique<AllowanceShare>(
          m_simulation.clock, TokensPerSecond{kRate}, Tokens{kBurst});
      m_bucket->Add({1.0, {0.0}});
    });
  }

 private:
  Simulation& m_simulation;
  bool m_is_store_down;
  std::size_t m_owner = 0;
  std::unique_ptr<AllowanceShare> m_bucket;
};

/// The classes of the product, with a new epoch after the death of an entry.
class EscrowShares final : public SharingScheme {
 public:
  EscrowShares(Simulation& simulation, bool is_store_down)
      : m_simulation(simulation), m_is_store_down(is_store_down) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      m_members.push_back(std::make_unique<Member>(*this, i));
    }
    StartEpoch(AllowancePhase::kActive);
  }
  void Request(std::size_t entry, double tokens,
               DecisionCallback on_decision) override {
    m_members[entry]->gate.Reserve(
        kOrganisation, {tokens},
        [on_decision](const AllowanceDecision& decision) {
          on_decision(std::holds_alternative<AllowanceGrant>(decision));
        });
  }
  void Kill(std::size_t entry) override {
    m_members[entry]->is_dead = true;
    if (m_is_store_down) {
      return;
    }
    // As with the product's allowance coordinator, the death is detected after
    // 2.9 s, and the fencing phase of the new epoch ends half a second later.
    m_simulation.After(milliseconds(2900),
                       [this] { StartEpoch(AllowancePhase::kFencing); });
    m_simulation.After(milliseconds(3400), [this] {
      m_state.phase = AllowancePhase::kActive;
      PublishState();
    });
  }

 private:
  /// One entry with its shares.
  struct Member final : AllowanceTransport {
    Member(EscrowShares& parent, std::size_t index)
        : scheme(parent),
          ledger(parent.m_simulation.clock,
                 IncarnationId("entry-" + std::to_string(index))),
          gate(parent.m_simulation.clock, ledger, *this) {
      ledger.Configure({{kOrganisation, {kRate}, {kBurst}, 1.0}});
    }
    void Ask(
        const AllowanceAsk& ask,
        std::function<void(std::optional<AllowanceTransfer>)> done) override {
      scheme.Ask(ask, done);
    }
    void SchedulePoll(Duration delay) override {
      scheme.m_simulation.After(delay, [this] { gate.Poll(); });
    }
    EscrowShares& scheme;
    AllowanceLedger ledger;
    AllowanceGate gate;
    bool is_dead = false;
  };

  void Ask(const AllowanceAsk& ask,
           const std::function<void(std::optional<AllowanceTransfer>)>& done) {
    const auto giver = std::ranges::find_if(m_members, [&](const auto& member) {
      return member->ledger.self() == ask.giver && !member->is_dead;
    });
    if (giver == m_members.end()) {
      constexpr Duration kAskTimeout = milliseconds(150);
      m_simulation.After(kAskTimeout, [done] { done(std::nullopt); });
      return;
    }
    Member* member = giver->get();
    m_simulation.After(kOneWayLatency, [this, member, ask, done] {
      const AllowanceTransfer transfer = member->ledger.HandleAsk(ask);
      m_simulation.After(kOneWayLatency, [done, transfer] { done(transfer); });
    });
  }

  void StartEpoch(AllowancePhase phase) {
    ++m_state.epoch;
    m_state.phase = phase;
    m_state.members.clear();
    for (const auto& member : m_members) {
      if (!member->is_dead) {
        m_state.members.push_back(
            {member->ledger.self(), InstanceId(member->ledger.self().value())});
      }
    }
    PublishState();
  }
  void PublishState() {
    for (const auto& member : m_members) {
      if (!member->is_dead) {
        member->ledger.Adopt(m_state);
        member->gate.Poll();
      }
    }
  }

  Simulation& m_simulation;
  bool m_is_store_down;
  AllowanceState m_state;
  std::vector<std::unique_ptr<Member>> m_members;
};

/// A workload and the failures during it.
struct Scenario {
  std::string name;
  /// Chooses the entry of a request from the seconds since the start.
  std::function<std::size_t(double seconds, RandomSource&)> entry;
  /// Tokens requested per second, as a multiple of the rate.
  double offered_load = 0.9;
  /// After a pause, one request asks for the whole burst.
  bool has_one_large_request = false;
  /// An entry dies; only the requests of the next 60 s are counted.
  bool kills_entry = false;
  bool is_store_down = false;  ///< For the whole run.
};

std::vector<Arrival> MakeArrivals(const Scenario& scenario, TimePoint start,
                                  std::uint64_t seed) {
  SeededRandom random(seed);
  std::vector<Arrival> arrivals;
  constexpr double kMeanTokens = 250.0;
  double at = 0.0;
  while (at < ToSeconds(kDuration)) {
    const double gap = (random.UniformBelow(2000) + 1) / 1000.0;
    at += gap * kMeanTokens / (kRate * scenario.offered_load);
    const double tokens = 50.0 + random.UniformBelow(400);
    arrivals.push_back(
        {start + FromSeconds(at), scenario.entry(at, random), tokens});
  }
  if (scenario.has_one_large_request) {
    std::erase_if(arrivals, [&](const Arrival& arrival) {
      return arrival.at > start + seconds(100) &&
             arrival.at < start + seconds(112);
    });
    arrivals.push_back({start + seconds(110), 1, kBurst});
    std::ranges::sort(arrivals, {}, &Arrival::at);
  }
  return arrivals;
}

/// @returns for each arrival whether a central token bucket admits it.
std::vector<bool> FindWithinRate(const std::vector<Arrival>& arrivals,
                                 TimePoint start) {
  std::vector<bool> within_rate;
  double level = kBurst;
  TimePoint last = start;
  for (const Arrival& arrival : arrivals) {
    level = std::min(level + kRate * ToSeconds(arrival.at - last), kBurst);
    last = arrival.at;
    within_rate.push_back(arrival.tokens <= level);
    level -= within_rate.back() ? arrival.tokens : 0.0;
  }
  return within_rate;
}

/// @returns the largest excess of the admitted tokens over what a token bucket
///   with kRate and kBurst allows, in tokens.
double MaxExcess(std::vector<std::pair<TimePoint, double>> admitted) {
  std::ranges::stable_sort(admitted, {}, &std::pair<TimePoint, double>::first);
  double backlog = 0.0;
  double max_excess = 0.0;
  TimePoint last{};
  for (const auto& [at, tokens] : admitted) {
    backlog = std::max(backlog - kRate * ToSeconds(at - last), 0.0) + tokens;
    last = at;
    max_excess = std::max(max_excess, backlog - kBurst);
  }
  return max_excess;
}

void RunScenario(
    const Scenario& scenario, const std::string& scheme_name,
    const std::function<std::unique_ptr<SharingScheme>(Simulation&)>&
        make_scheme,
    std::uint64_t seed) {
  Simulation simulation;
  const auto scheme = make_scheme(simulation);
  simulation.RunUntil(simulation.clock.Now() + seconds(10));
  const TimePoint start = simulation.clock.Now();
  const auto arrivals = MakeArrivals(scenario, start, seed);
  const auto within_rate = FindWithinRate(arrivals, start);
  constexpr std::size_t kKilledEntry = 0;
  const TimePoint killed_at =
      scenario.kills_entry ? start + seconds(120) : TimePoint::max();
  const TimePoint counted_until =
      scenario.kills_entry ? killed_at + seconds(60) : TimePoint::max();
  std::size_t counted = 0;
  std::size_t wrongly_refused = 0;
  double allowed = 0.0;
  double granted = 0.0;
  std::vector<std::pair<TimePoint, double>> admitted;
  if (scenario.kills_entry) {
    simulation.At(killed_at, [&] { scheme->Kill(kKilledEntry); });
  }
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    const Arrival& arrival = arrivals[i];
    const bool is_entry_killed = arrival.at >= killed_at;
    const std::size_t entry =
        is_entry_killed && arrival.entry == kKilledEntry ? 1 : arrival.entry;
    const bool is_counted =
        !scenario.kills_entry ||
        (arrival.at >= killed_at && arrival.at < counted_until);
    allowed += within_rate[i] ? arrival.tokens : 0.0;
    simulation.At(arrival.at, [&, i, entry, is_counted] {
      counted += is_counted ? 1 : 0;
      scheme->Request(
          entry, arrivals[i].tokens, [&, i, is_counted](bool is_granted) {
            if (is_granted) {
              granted += arrivals[i].tokens;
              admitted.emplace_back(simulation.clock.Now(), arrivals[i].tokens);
            } else if (within_rate[i] && is_counted) {
              ++wrongly_refused;
            }
          });
    });
  }
  simulation.RunUntil(start + kDuration + seconds(10));
  std::printf("%-28s %-14s %9zu %11.3f%% %9.2f%% %10.1f\n",
              scenario.name.c_str(), scheme_name.c_str(), counted,
              100.0 * static_cast<double>(wrongly_refused) /
                  static_cast<double>(counted),
              100.0 * granted / allowed, MaxExcess(std::move(admitted)));
}

}  // namespace
}  // namespace bambooquay

int main(int argc, char** argv) {
  using namespace bambooquay;
  const std::uint64_t seed =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
  const auto spread_evenly = [](double, RandomSource& random) -> std::size_t {
    return random.UniformBelow(kEntries);
  };
  const auto single_entry = [](double, RandomSource&) -> std::size_t {
    return 1;
  };
  const auto rotating = [](double at, RandomSource&) -> std::size_t {
    return static_cast<std::size_t>(at / 10.0) % kEntries;
  };
  const std::vector<Scenario> scenarios = {
      {"evenly spread", spread_evenly},
      {"through one entry only", single_entry},
      {"moving every 10 s", rotating},
      {"one as large as the burst", spread_evenly, 0.6, true},
      {"five times the rate", spread_evenly, 5.0},
      {"store down for the run", rotating, 0.9, false, false, true},
      {"an entry dead for 60 s", spread_evenly, 0.9, false, true},
      {"dead, and the store down", spread_evenly, 0.6, false, true, true}};
  std::printf("seed %llu, %zu entries, rate %.0f, burst %.0f tokens\n",
              static_cast<unsigned long long>(seed), kEntries, kRate, kBurst);
  std::printf("%-28s %-14s %9s %12s %10s %10s\n", "scenario", "sharing",
              "requests", "refused in", "granted", "excess");
  for (const Scenario& scenario : scenarios) {
    RunScenario(
        scenario, "static split",
        [](Simulation& s) { return std::make_unique<StaticSplit>(s); }, seed);
    RunScenario(
        scenario, "lease owner",
        [&](Simulation& s) {
          return std::make_unique<LeaseOwner>(s, scenario.is_store_down);
        },
        seed);
    RunScenario(
        scenario, "escrow shares",
        [&](Simulation& s) {
          return std::make_unique<EscrowShares>(s, scenario.is_store_down);
        },
        seed);
  }
  return 0;
}
