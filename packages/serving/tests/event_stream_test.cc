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
