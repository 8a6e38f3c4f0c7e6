// Copies of the store's tables, the ledger of loads, and the relay.
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bambooquay/serving/model_load_limiter.h"
#include "bambooquay/serving/table_mirror.h"
#include "bambooquay/serving/table_relay.h"
#include "support/fake_table.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using testing::FakeTable;

constexpr Duration kLimit = std::chrono::seconds(10);

/// A mirror and what it was told.
struct Mirrored {
  explicit Mirrored(Duration pause = Duration::zero())
      : mirror(loop, table, random, {"t", pause, pause},
               [this](const TableRow& row) {
                 if (row.deleted) {
                   seen.erase(row.key);
                 } else {
                   seen[row.key] = row.value;
                 }
               }) {}

  bool Until(const std::function<bool()>& done) {
    return loop.RunUntil(done, kLimit);
  }

  EventLoop loop;
  SeededRandom random{5};
  FakeTable table{loop};
  std::map<std::string, std::string> seen;
  TableMirror mirror;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(tables)

BOOST_AUTO_TEST_CASE(a_mirror_lists_and_then_follows_changes) {
  Mirrored mirrored;
  mirrored.table.Put("t", "a", "1");
  mirrored.mirror.Start();
  BOOST_TEST(mirrored.Until([&] { return mirrored.seen.contains("a"); }));
  mirrored.table.Put("t", "b", "2");
  mirrored.table.Drop("t", "a");
  BOOST_TEST(mirrored.Until([&] {
    return mirrored.seen == std::map<std::string, std::string>{{"b", "2"}};
  }));
}

BOOST_AUTO_TEST_CASE(a_pause_between_watches_can_be_ended) {
  Mirrored mirrored(std::chrono::hours(1));
  mirrored.mirror.Start();
  BOOST_TEST(mirrored.Until([&] { return mirrored.mirror.complete(); }));
  mirrored.table.Put("t", "a", "1");
  BOOST_TEST(mirrored.Until([&] { return mirrored.seen.contains("a"); }));
  // The hour has begun; this change is not seen before its end.
  mirrored.table.Put("t", "b", "2");
  mirrored.loop.RunUntil([] { return false; }, milliseconds(50));
  BOOST_TEST(!mirrored.seen.contains("b"));
  mirrored.mirror.EndPause();
  BOOST_TEST(mirrored.Until([&] { return mirrored.seen.contains("b"); }));
}

BOOST_AUTO_TEST_CASE(a_dropped_history_leads_to_a_new_listing) {
  Mirrored mirrored;
  mirrored.table.Put("t", "a", "1");
  mirrored.mirror.Start();
  BOOST_TEST(mirrored.Until([&] { return mirrored.mirror.complete(); }));
  mirrored.table.down = true;
  mirrored.table.Drop("t", "a");
  mirrored.table.Put("t", "b", "2");
  mirrored.table.down = false;
  mirrored.table.DropHistory();
  BOOST_TEST(mirrored.Until([&] {
    return mirrored.seen == std::map<std::string, std::string>{{"b", "2"}};
  }));
}

BOOST_AUTO_TEST_CASE(a_listing_older_than_the_copy_is_not_taken) {
  Mirrored mirrored;
  mirrored.table.Put("t", "a", "1");
  mirrored.mirror.Start();
  BOOST_TEST(mirrored.Until([&] { return mirrored.mirror.complete(); }));
  mirrored.table.stale_lists = 2;
  mirrored.table.Put("t", "b", "2");
  mirrored.table.DropHistory();
  BOOST_TEST(mirrored.Until([&] { return mirrored.seen.contains("b"); }));
  BOOST_TEST(mirrored.seen.contains("a"));
}

BOOST_AUTO_TEST_CASE(a_mirror_asks_its_peers_while_the_store_is_away) {
  Mirrored mirrored;
  FakeTable peer(mirrored.loop);
  mirrored.mirror.SetFallback(peer);
  mirrored.table.Put("t", "key", "old");
  mirrored.mirror.Start();
  BOOST_TEST(mirrored.Until([&] { return mirrored.mirror.complete(); }));
  mirrored.table.down = true;
  peer.version = 50;
  peer.Put("t", "key", "new");
  mirrored.table.Put("t", "key", "unseen");
  BOOST_TEST(mirrored.Until([&] { return mirrored.seen["key"] == "new"; }));
  // A peer that knows less changes nothing.
  peer.version = 20;
  peer.Put("t", "key", "older");
  const int lists = peer.lists;
  BOOST_TEST(mirrored.Until([&] { return peer.lists > lists + 2; }));
  BOOST_TEST(mirrored.seen["key"] == "new");
}

// A watch whose connection has gone silent answers late, with changes that the
// copy has from a peer by then.
BOOST_AUTO_TEST_CASE(a_silent_watch_is_made_good_by_peers_and_then_goes_on) {
  Mirrored mirrored;
  FakeTable peer(mirrored.loop);
  mirrored.mirror.SetFallback(peer);
  mirrored.table.Put("t", "key", "1");
  mirrored.mirror.Start();
  BOOST_TEST(mirrored.Until([&] { return mirrored.mirror.complete(); }));
  peer.version = 20;
  peer.Put("t", "key", "3");
  mirrored.mirror.AskFallback();
  BOOST_TEST(mirrored.Until([&] { return mirrored.seen["key"] == "3"; }));
  // The store's late answer is older and changes nothing; the next is newer.
  mirrored.table.Put("t", "key", "2");
  mirrored.loop.RunUntil([] { return false; }, milliseconds(100));
  BOOST_TEST(mirrored.seen["key"] == "3");
  mirrored.table.version = 30;
  mirrored.table.Put("t", "key", "4");
  BOOST_TEST(mirrored.Until([&] { return mirrored.seen["key"] == "4"; }));
}

BOOST_AUTO_TEST_CASE(a_relayed_page_arrives_as_it_was_sent) {
  TablePage page;
  page.version = 77;
  page.rows = {{"", "key", std::string("\0\xff bytes", 8), 70, false}};
  const auto read = DecodePage(EncodePage(page));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->version == 77U);
  BOOST_TEST(read->rows[0].value == page.rows[0].value);
  BOOST_TEST(!DecodePage("no page").has_value());
  BOOST_TEST(!DecodePage("").has_value());
}

BOOST_AUTO_TEST_CASE(a_ledger_reads_back_and_skips_what_it_cannot_read) {
  const std::vector<ModelLoadRecord> entries = {
      {milliseconds(5), ModelName("m"), UpstreamId("e")}};
  const auto read = DecodeLoadRecords(EncodeLoadRecords(entries));
  BOOST_REQUIRE(read.size() == 1U);
  BOOST_TEST(read[0].model.value() == "m");
  BOOST_TEST(DecodeLoadRecords("[[1,2],7,[3,\"m\",\"e\"]]").size() == 1U);
  BOOST_TEST(DecodeLoadRecords("nonsense").empty());
}

// Agents race for permits, and some answers are lost: loads in any window stay
// within the rate.
BOOST_AUTO_TEST_CASE(permits_of_all_agents_stay_within_the_rate) {
  EventLoop loop;
  FakeTable table(loop);
  const LoadRateLimit pace{1.4, std::chrono::seconds(5)};
  std::vector<std::unique_ptr<ModelLoadLimiter>> agents;
  for (int i = 0; i < 8; ++i) {
    agents.push_back(std::make_unique<ModelLoadLimiter>(loop, table));
  }
  int granted = 0;
  int answered = 0;
  for (int round = 0; round < 6; ++round) {
    table.lose_answers = round == 2;
    answered = 0;
    for (const auto& agent : agents) {
      agent->Refresh([&, ledger = agent.get()](bool known) {
        BOOST_TEST(known);
        ledger->Acquire(ModelName("m"), UpstreamId("e"), pace, [&](bool given) {
          granted += given ? 1 : 0;
          ++answered;
        });
      });
    }
    BOOST_TEST(loop.RunUntil([&] { return answered == 8; }, kLimit));
  }
  // All within one window of the store's clock, which stands still here.
  BOOST_TEST(granted <= 7);
  BOOST_TEST(granted >= 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
