// Tests of the limit on the bytes in transit.
#include "bambooquay/runtime/buffer_budget.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

namespace bambooquay {

BOOST_AUTO_TEST_SUITE(buffer_budget)

BOOST_AUTO_TEST_CASE(a_holding_is_given_back_when_it_ends) {
  BufferBudget budget(800'000);
  BOOST_TEST(budget.MaxHolding() == 100'000U);
  {
    BufferHolding holding(budget);
    holding.Set(50'000);
    holding.Set(80'000);
    BOOST_TEST(budget.held() == 80'000U);
    BOOST_TEST(budget.MaxHolding() == 90'000U);
  }
  BOOST_TEST(budget.held() == 0U);
}

// Load: faulty servers fill the buffers of all calls at once, piece by piece.
RC_BOOST_PROP(buffers_that_keep_to_it_hold_less_than_the_limit, ()) {
  const auto limit = *rc::gen::inRange<std::size_t>(1'000, 10'000'000);
  const auto count = *rc::gen::inRange<std::size_t>(1, 3'000);
  const auto piece = *rc::gen::inRange<std::size_t>(1, 100'000);
  BufferBudget budget(limit);
  std::vector<std::unique_ptr<BufferHolding>> holdings;
  std::vector<std::size_t> held(count, 0);
  for (std::size_t i = 0; i < count; ++i) {
    holdings.push_back(std::make_unique<BufferHolding>(budget));
  }
  for (int round = 0; round < 3; ++round) {
    for (std::size_t i = 0; i < count; ++i) {
      if (held[i] + piece <= budget.MaxHolding()) {
        held[i] += piece;
        holdings[i]->Set(held[i]);
      }
    }
  }
  RC_ASSERT(budget.held() < limit + count * BufferBudget::kMinHolding);
}

BOOST_AUTO_TEST_CASE(small_buffers_work_while_others_hold_everything) {
  BufferBudget budget(100'000);
  BufferHolding large(budget);
  large.Set(150'000);
  BOOST_TEST(budget.MaxHolding() == BufferBudget::kMinHolding);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
