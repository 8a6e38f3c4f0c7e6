// Refusals inside the rate and excess over it, for three ways to share an
// allowance among entries: a static split, one lease-holding owner, and the
// escrow shares that the product uses. Every way sees the same requests; a
// central bucket that knows everything tells which of them were inside the
// rate. Time is simulated; messages take one way between data centres.
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

constexpr double kRate = 4000.0;
constexpr double kBurst = 20000.0;
constexpr std::size_t kEntries = 3;
constexpr Duration kOneWay = milliseconds(1);
constexpr Duration kLength = seconds(300);
const OrganisationId kOrganisation("org");

/// One request of the workload.
struct Arrival {
  TimePoint at;
  std::size_t entry;
  double tokens;
};

/// Events in the order of their time.
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

using Decide = std::function<void(bool)>;

/// A way of sharing an allowance.
class Sharing {
 public:
  Sharing() = default;
  Sharing(const Sharing&) = delete;
  Sharing& operator=(const Sharing&) = delete;
  virtual ~Sharing() = default;
  virtual void Request(std::size_t entry, double tokens, Decide decide) = 0;
  virtual void Kill(std::size_t entry) = 0;
};

/// Every entry has a third for good.
class StaticSplit final : public Sharing {
 public:
  explicit StaticSplit(Simulation& simulation) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      m_shares.push_back(std::make_unique<AllowanceShare>(
          simulation.clock, TokensPerSecond{kRate}, Tokens{kBurst}));
      m_shares.back()->Add({1.0 / kEntries, {kBurst / kEntries}});
    }
  }
  void Request(std::size_t entry, double tokens, Decide decide) override {
    decide(m_shares[entry]->TrySpend({tokens}).has_value());
  }
  void Kill(std::size_t /*entry*/) override {}

 private:
  std::vector<std::unique_ptr<AllowanceShare>> m_shares;
};

/// One entry owns the bucket under a lease in the table; the others ask it.
/// When it dies, the next owner waits for the lease to lapse and starts empty;
/// with the store down there is no next owner.
class LeaseOwner final : public Sharing {
 public:
  LeaseOwner(Simulation& simulation, bool store_down)
      : m_simulation(simulation),
        m_store_down(store_down),
        m_bucket(std::make_unique<AllowanceShare>(
            simulation.clock, TokensPerSecond{kRate}, Tokens{kBurst})) {
    m_bucket->Add({1.0, {kBurst}});
  }
  void Request(std::size_t entry, double tokens, Decide decide) override {
    if (m_bucket == nullptr) {
      decide(false);
    } else if (entry == m_owner) {
      decide(m_bucket->TrySpend({tokens}).has_value());
    } else {
      m_simulation.After(kOneWay, [this, tokens, decide] {
        const bool granted =
            m_bucket != nullptr && m_bucket->TrySpend({tokens}).has_value();
        m_simulation.After(kOneWay, [decide, granted] { decide(granted); });
      });
    }
  }
  void Kill(std::size_t entry) override {
    if (entry != m_owner) {
      return;
    }
    m_bucket = nullptr;
    if (m_store_down) {
      return;
    }
    constexpr Duration kLease = seconds(5);
    m_simulation.After(kLease, [this] {
      m_owner = (m_owner + 1) % kEntries;
      m_bucket = std::make_unique<AllowanceShare>(
          m_simulation.clock, TokensPerSecond{kRate}, Tokens{kBurst});
      m_bucket->Add({1.0, {0.0}});
    });
  }

 private:
  Simulation& m_simulation;
  bool m_store_down;
  std::size_t m_owner = 0;
  std::unique_ptr<AllowanceShare> m_bucket;
};

/// The product's own classes, with an epoch change after a death.
class EscrowShares final : public Sharing {
 public:
  EscrowShares(Simulation& simulation, bool store_down)
      : m_simulation(simulation), m_store_down(store_down) {
    for (std::size_t i = 0; i < kEntries; ++i) {
      m_members.push_back(std::make_unique<Member>(*this, i));
    }
    DealAnew(AllowancePhase::kActive);
  }
  void Request(std::size_t entry, double tokens, Decide decide) override {
    m_members[entry]->gate.Reserve(
        kOrganisation, {tokens}, [decide](const AllowanceDecision& decision) {
          decide(std::holds_alternative<AllowanceGrant>(decision));
        });
  }
  void Kill(std::size_t entry) override {
    m_members[entry]->dead = true;
    if (m_store_down) {
      return;
    }
    // As the keeper: noticed after 2.9 s, fenced within another half second.
    m_simulation.After(milliseconds(2900),
                       [this] { DealAnew(AllowancePhase::kFencing); });
    m_simulation.After(milliseconds(3400), [this] {
      m_state.phase = AllowancePhase::kActive;
      Spread();
    });
  }

 private:
  struct Member final : AllowanceTransport {
    Member(EscrowShares& owner, std::size_t index)
        : shares(owner),
          ledger(owner.m_simulation.clock,
                 IncarnationId("entry-" + std::to_string(index))),
          gate(owner.m_simulation.clock, ledger, *this) {
      ledger.Configure({{kOrganisation, {kRate}, {kBurst}, 1.0}});
    }
    void Ask(
        const AllowanceAsk& ask,
        std::function<void(std::optional<AllowanceTransfer>)> done) override {
      shares.Ask(ask, done);
    }
    void SchedulePoll(Duration delay) override {
      shares.m_simulation.After(delay, [this] { gate.Poll(); });
    }
    EscrowShares& shares;
    AllowanceLedger ledger;
    AllowanceGate gate;
    bool dead = false;
  };

  void Ask(const AllowanceAsk& ask,
           const std::function<void(std::optional<AllowanceTransfer>)>& done) {
    const auto giver = std::ranges::find_if(m_members, [&](const auto& member) {
      return member->ledger.self() == ask.giver && !member->dead;
    });
    if (giver == m_members.end()) {
      constexpr Duration kTimeout = milliseconds(150);
      m_simulation.After(kTimeout, [done] { done(std::nullopt); });
      return;
    }
    Member* member = giver->get();
    m_simulation.After(kOneWay, [this, member, ask, done] {
      const AllowanceTransfer transfer = member->ledger.HandleAsk(ask);
      m_simulation.After(kOneWay, [done, transfer] { done(transfer); });
    });
  }

  void DealAnew(AllowancePhase phase) {
    ++m_state.epoch;
    m_state.phase = phase;
    m_state.members.clear();
    for (const auto& member : m_members) {
      if (!member->dead) {
        m_state.members.push_back(
            {member->ledger.self(), InstanceId(member->ledger.self().value())});
      }
    }
    Spread();
  }
  void Spread() {
    for (const auto& member : m_members) {
      if (!member->dead) {
        member->ledger.Adopt(m_state);
        member->gate.Poll();
      }
    }
  }

  Simulation& m_simulation;
  bool m_store_down;
  AllowanceState m_state;
  std::vector<std::unique_ptr<Member>> m_members;
};

/// A workload: which entry the next request comes to, and how large it is.
struct Scenario {
  std::string name;
  std::function<std::size_t(double seconds, RandomSource&)> entry;
  /// Part of the rate that is asked for.
  double load = 0.9;
  bool one_large = false;
  bool kill = false;
  bool store_down = false;
};

std::vector<Arrival> MakeArrivals(const Scenario& scenario, TimePoint start,
                                  std::uint64_t seed) {
  SeededRandom random(seed);
  std::vector<Arrival> arrivals;
  constexpr double kMeanTokens = 250.0;
  double at = 0.0;
  while (at < ToSeconds(kLength)) {
    const double gap = (random.UniformBelow(2000) + 1) / 1000.0;
    at += gap * kMeanTokens / (kRate * scenario.load);
    const double tokens = 50.0 + random.UniformBelow(400);
    arrivals.push_back(
        {start + FromSeconds(at), scenario.entry(at, random), tokens});
  }
  if (scenario.one_large) {
    std::erase_if(arrivals, [&](const Arrival& arrival) {
      return arrival.at > start + seconds(100) &&
             arrival.at < start + seconds(112);
    });
    arrivals.push_back({start + seconds(110), 1, kBurst});
    std::ranges::sort(arrivals, {}, &Arrival::at);
  }
  return arrivals;
}

/// @returns whether a central bucket admits each arrival.
std::vector<bool> InsideTheRate(const std::vector<Arrival>& arrivals,
                                TimePoint start) {
  std::vector<bool> inside;
  double level = kBurst;
  TimePoint last = start;
  for (const Arrival& arrival : arrivals) {
    level = std::min(level + kRate * ToSeconds(arrival.at - last), kBurst);
    last = arrival.at;
    inside.push_back(arrival.tokens <= level);
    level -= inside.back() ? arrival.tokens : 0.0;
  }
  return inside;
}

double WorstExcess(std::vector<std::pair<TimePoint, double>> admitted) {
  std::ranges::stable_sort(admitted, {}, &std::pair<TimePoint, double>::first);
  double backlog = 0.0;
  double worst = 0.0;
  TimePoint last{};
  for (const auto& [at, tokens] : admitted) {
    backlog = std::max(backlog - kRate * ToSeconds(at - last), 0.0) + tokens;
    last = at;
    worst = std::max(worst, backlog - kBurst);
  }
  return worst;
}

void Run(const Scenario& scenario, const std::string& way,
         const std::function<std::unique_ptr<Sharing>(Simulation&)>& make,
         std::uint64_t seed) {
  Simulation simulation;
  const auto sharing = make(simulation);
  simulation.RunUntil(simulation.clock.Now() + seconds(10));
  const TimePoint start = simulation.clock.Now();
  const auto arrivals = MakeArrivals(scenario, start, seed);
  const auto inside = InsideTheRate(arrivals, start);
  constexpr std::size_t kKilled = 0;
  const TimePoint killed_at =
      scenario.kill ? start + seconds(120) : TimePoint::max();
  const TimePoint replaced_at =
      scenario.kill ? killed_at + seconds(60) : TimePoint::max();
  std::size_t counted = 0;
  std::size_t wrongly_refused = 0;
  double allowed = 0.0;
  double granted = 0.0;
  std::vector<std::pair<TimePoint, double>> admitted;
  if (scenario.kill) {
    simulation.At(killed_at, [&] { sharing->Kill(kKilled); });
  }
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    const Arrival& arrival = arrivals[i];
    const bool entry_is_dead = arrival.at >= killed_at;
    const std::size_t entry =
        entry_is_dead && arrival.entry == kKilled ? 1 : arrival.entry;
    const bool in_question =
        !scenario.kill || (arrival.at >= killed_at && arrival.at < replaced_at);
    allowed += inside[i] ? arrival.tokens : 0.0;
    simulation.At(arrival.at, [&, i, entry, in_question] {
      counted += in_question ? 1 : 0;
      sharing->Request(entry, arrivals[i].tokens, [&, i, in_question](bool ok) {
        if (ok) {
          granted += arrivals[i].tokens;
          admitted.emplace_back(simulation.clock.Now(), arrivals[i].tokens);
        } else if (inside[i] && in_question) {
          ++wrongly_refused;
        }
      });
    });
  }
  simulation.RunUntil(start + kLength + seconds(10));
  std::printf("%-28s %-14s %9zu %11.3f%% %9.2f%% %10.1f\n",
              scenario.name.c_str(), way.c_str(), counted,
              100.0 * static_cast<double>(wrongly_refused) /
                  static_cast<double>(counted),
              100.0 * granted / allowed, WorstExcess(std::move(admitted)));
}

}  // namespace
}  // namespace bambooquay

int main(int argc, char** argv) {
  using namespace bambooquay;
  const std::uint64_t seed =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
  const auto spread = [](double, RandomSource& random) -> std::size_t {
    return random.UniformBelow(kEntries);
  };
  const auto one = [](double, RandomSource&) -> std::size_t { return 1; };
  const auto moving = [](double at, RandomSource&) -> std::size_t {
    return static_cast<std::size_t>(at / 10.0) % kEntries;
  };
  const std::vector<Scenario> scenarios = {
      {"evenly spread", spread},
      {"through one entry only", one},
      {"moving every 10 s", moving},
      {"one as large as the burst", spread, 0.6, true},
      {"five times the rate", spread, 5.0},
      {"store down for the run", moving, 0.9, false, false, true},
      {"an entry dead for 60 s", spread, 0.9, false, true},
      {"dead, and the store down", spread, 0.6, false, true, true}};
  std::printf("seed %llu, %zu entries, rate %.0f, burst %.0f tokens\n",
              static_cast<unsigned long long>(seed), kEntries, kRate, kBurst);
  std::printf("%-28s %-14s %9s %12s %10s %10s\n", "scenario", "sharing",
              "requests", "refused in", "granted", "excess");
  for (const Scenario& scenario : scenarios) {
    Run(
        scenario, "static split",
        [](Simulation& s) { return std::make_unique<StaticSplit>(s); }, seed);
    Run(
        scenario, "lease owner",
        [&](Simulation& s) {
          return std::make_unique<LeaseOwner>(s, scenario.store_down);
        },
        seed);
    Run(
        scenario, "escrow shares",
        [&](Simulation& s) {
          return std::make_unique<EscrowShares>(s, scenario.store_down);
        },
        seed);
  }
  return 0;
}
