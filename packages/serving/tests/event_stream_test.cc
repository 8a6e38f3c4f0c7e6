// Tests for splitting event streams into whole events.
#include "bambooquay/serving/event_stream.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace bambooquay {

BOOST_AUTO_TEST_SUITE(event_stream)

BOOST_AUTO_TEST_CASE(an_incomplete_event_is_held_back) {
  EventStreamSplitter events;
  BOOST_TEST(events.Append("id: 1\ndata: a\n\nid: 2\nda") ==
             "id: 1\ndata: a\n\n");
  BOOST_TEST(events.last_id() == "1");
  BOOST_TEST(events.TakeRemainder() == "id: 2\nda");
  BOOST_TEST(events.last_id() == "1");
}

BOOST_AUTO_TEST_CASE(lines_may_end_with_cr_lf) {
  EventStreamSplitter events;
  BOOST_TEST(events.Append("id: 7\r\ndata: x\r\n\r\n") ==
             "id: 7\r\ndata: x\r\n\r\n");
  BOOST_TEST(events.last_id() == "7");
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_starts_with_an_empty_buffer) {
  EventStreamSplitter events;
  static_cast<void>(events.Append("id: 1\ndata: a\n\nid: 2\ndata: brok"));
  static_cast<void>(events.TakeRemainder());
  BOOST_TEST(events.Append("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(events.last_id() == "2");
}

BOOST_AUTO_TEST_CASE(ids_of_a_stream_increase) {
  BOOST_TEST(MayFollow("9", "10"));
  BOOST_TEST(MayFollow("0", "1"));
  BOOST_TEST(MayFollow("007", "8"));
  BOOST_TEST(MayFollow("18446744073709551616", "18446744073709551617"));
  BOOST_TEST(!MayFollow("10", "9"));
  BOOST_TEST(!MayFollow("7", "007"));
  BOOST_TEST(!MayFollow("0", "0"));
  // Ids that are no numbers have no order that is known here.
  BOOST_TEST(MayFollow("b", "a"));
  BOOST_TEST(MayFollow("b", "1"));
  BOOST_TEST(!MayFollow("a", "a"));
}

BOOST_AUTO_TEST_CASE(an_event_that_repeats_an_earlier_one_is_not_returned) {
  EventStreamSplitter events;
  events.StartAfter("2");
  BOOST_TEST(events.Append("data: no id\n\nid: 3\n\n") ==
             "data: no id\n\nid: 3\n\n");
  BOOST_TEST(events.out_of_order_id().empty());
  BOOST_TEST(events.Append("id: 4\n\nid: 1\n\nid: 5\n\n") == "id: 4\n\n");
  BOOST_TEST(events.out_of_order_id() == "1");
  BOOST_TEST(events.last_id() == "4");
  // Another run of the stream.
  static_cast<void>(events.TakeRemainder());
  BOOST_TEST(events.out_of_order_id().empty());
  BOOST_TEST(events.Append("id: 5\n\n") == "id: 5\n\n");
}

// The events are the same for any division of a stream into reads.
RC_BOOST_PROP(events_do_not_depend_on_the_sizes_of_reads,
              (const std::vector<std::uint8_t>& read_sizes)) {
  std::string stream;
  for (int i = 1; i <= 20; ++i) {
    stream += "id: " + std::to_string(i) +
              "\ndata: " + std::string(static_cast<std::size_t>(i * 3), 'x') +
              "\n\n";
  }
  EventStreamSplitter events;
  std::string out;
  std::size_t at = 0;
  for (const std::uint8_t read_size : read_sizes) {
    const std::size_t size =
        std::min<std::size_t>(read_size, stream.size() - at);
    out += events.Append(std::string_view(stream).substr(at, size));
    at += size;
  }
  out += events.Append(std::string_view(stream).substr(at));
  RC_ASSERT(out == stream);
  RC_ASSERT(events.last_id() == "20");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
