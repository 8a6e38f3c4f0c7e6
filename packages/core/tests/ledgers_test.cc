// Tests that attempts run at most once and queries about them are answered
// correctly, and that the memory of an engine is never overcommitted.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bambooquay/core/attempt_ledger.h"
#include "bambooquay/core/memory_ledger.h"

namespace bambooquay {
namespace {

constexpr Duration kRetention = std::chrono::minutes(30);

RequestId RandomRequestId() {
  return RequestId("r" + std::to_string(*rc::gen::inRange(0, 6)));
}

BOOST_AUTO_TEST_SUITE(ledgers)

// Messages may be duplicated, delayed and reordered: requests to begin and to
// cancel the same attempt arrive in any order and any number of times.
BOOST_AUTO_TEST_CASE(an_attempt_reported_as_not_run_never_runs) {
  rc::detail::checkBoostTest([] {
    ManualClock clock;
    AttemptLedger ledger(clock, kRetention, 1024);
    std::map<RequestId, int> runs;
    std::set<RequestId> reported_not_run;
    std::set<RequestId> queued;
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const RequestId id = RandomRequestId();
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          if (ledger.Begin(id)) {
            queued.insert(id);
          }
          break;
        case 1:
          if (queued.erase(id) > 0 &&
              ledger.StateOf(id) == LedgerState::kQueued) {
            ledger.MarkRunning(id);
            ++runs[id];
          }
          break;
        case 2:
          if (ledger.StateOf(id) == LedgerState::kRunning) {
            ledger.Finish(id, {.result = {},
                               .status = 200,
                               .content_type = "",
                               .body = "done"});
          }
          break;
        default:
          if (ledger.CancelUnlessRunning(id) == LedgerState::kCancelled) {
            reported_not_run.insert(id);
          }
          break;
      }
      clock.Advance(std::chrono::seconds(*rc::gen::inRange(0, 20)));
      for (const auto& [run, count] : runs) {
        RC_ASSERT(count <= 1);
        RC_ASSERT(!reported_not_run.contains(run));
      }
    }
  });
}

BOOST_AUTO_TEST_CASE(
    an_attempt_that_arrives_after_its_cancellation_is_refused) {
  ManualClock clock;
  AttemptLedger ledger(clock, kRetention, 1024);
  const RequestId id("late");
  BOOST_TEST((ledger.CancelUnlessRunning(id) == LedgerState::kCancelled));
  clock.Advance(std::chrono::minutes(20));
  BOOST_TEST(!ledger.Begin(id));
}

BOOST_AUTO_TEST_CASE(stored_bodies_are_bounded_but_outcomes_are_kept) {
  ManualClock clock;
  AttemptLedger ledger(clock, kRetention, 10);
  for (const char* name : {"a", "b"}) {
    BOOST_REQUIRE(ledger.Begin(RequestId(name)));
    ledger.MarkRunning(RequestId(name));
    ledger.Finish(
        RequestId(name),
        {.result = {}, .status = 200, .content_type = "", .body = "12345678"});
  }
  BOOST_TEST(ledger.Find(RequestId("a"))->body == "12345678");
  BOOST_TEST(ledger.Find(RequestId("b"))->body.empty());
  clock.Advance(kRetention);
  BOOST_TEST(ledger.Begin(RequestId("c")));
  BOOST_TEST(ledger.size() == 1U);
}

/// Simulates an engine that executes orders in any sequence and whose replies
/// may be lost. An order whose reply was lost is executed only within its
/// lifetime.
class UnreliableEngine {
 public:
  static constexpr Duration kOrderLifetime = std::chrono::seconds(60);

  explicit UnreliableEngine(MemoryLedger& ledger, const Clock& clock)
      : m_ledger(ledger), m_clock(clock) {}

  void SendOrder(bool is_load, const ModelName& model) {
    m_orders.push_back({is_load, model, m_clock.Now()});
  }

  /// Loses the reply to an order. The order may still be executed.
  void LoseReply(std::size_t index) {
    if (index < m_orders.size() && !m_orders[index].reply_lost) {
      m_orders[index].reply_lost = true;
      if (m_orders[index].is_load) {
        m_ledger.RecordLostLoadReply(m_orders[index].model);
      }
    }
  }

  void Execute(std::size_t index) {
    if (index >= m_orders.size()) {
      return;
    }
    const PendingOrder order = m_orders[index];
    m_orders.erase(m_orders.begin() + static_cast<std::ptrdiff_t>(index));
    if (m_clock.Now() - order.issued_at >= kOrderLifetime && order.reply_lost) {
      return;
    }
    if (order.is_load) {
      m_models.emplace(order.model, MemoryOf(order.model));
      if (!order.reply_lost) {
        m_ledger.RecordLoadReply(order.model, false);
      }
    } else {
      m_models.erase(order.model);
    }
  }

  static MebiBytes MemoryOf(const ModelName& model) {
    return MebiBytes{20 + 7 * (model.value().back() - '0')};
  }
  [[nodiscard]] std::int64_t UsedMib() const {
    std::int64_t used = 0;
    for (const auto& [model, memory] : m_models) {
      used += memory.count;
    }
    return used;
  }
  [[nodiscard]] std::map<ModelName, ReportedModel> ReportModels() const {
    std::map<ModelName, ReportedModel> list;
    for (const auto& [model, memory] : m_models) {
      list[model] = {memory, true};
    }
    return list;
  }

 private:
  struct PendingOrder {
    bool is_load;
    ModelName model;
    TimePoint issued_at;
    bool reply_lost = false;
  };

  MemoryLedger& m_ledger;
  const Clock& m_clock;
  std::map<ModelName, MebiBytes> m_models;
  std::vector<PendingOrder> m_orders;
};

BOOST_AUTO_TEST_CASE(memory_is_never_overcommitted) {
  rc::detail::checkBoostTest([] {
    constexpr std::int64_t kCapacity = 100;
    ManualClock clock;
    MemoryLedger ledger(clock, MebiBytes{kCapacity},
                        UnreliableEngine::kOrderLifetime);
    UnreliableEngine engine(ledger, clock);
    const int steps = *rc::gen::inRange(1, 100);
    for (int i = 0; i < steps; ++i) {
      const ModelName model("m" + std::to_string(*rc::gen::inRange(0, 6)));
      const auto index = *rc::gen::inRange<std::size_t>(0, 4);
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          if (ledger.BeginLoad(model, UnreliableEngine::MemoryOf(model))) {
            engine.SendOrder(true, model);
          }
          break;
        case 1:
          if (ledger.IsLoaded(model)) {
            ledger.BeginUnload(model);
            engine.SendOrder(false, model);
          }
          break;
        case 2:
          engine.LoseReply(index);
          break;
        case 3:
          engine.Execute(index);
          break;
        case 4:
          clock.Advance(std::chrono::seconds(*rc::gen::inRange(1, 90)));
          break;
        default:
          ledger.Reconcile(engine.ReportModels());
          break;
      }
      RC_ASSERT(engine.UsedMib() <= kCapacity);
      RC_ASSERT(ledger.reserved() <= ledger.capacity());
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bambooquay
