// Splitting streams into whole events.
#include "bambooquay/serving/event_stream.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace bambooquay {

BOOST_AUTO_TEST_SUITE(event_stream)

BOOST_AUTO_TEST_CASE(an_incomplete_event_is_kept_back) {
  EventStreamSplitter events;
  BOOST_TEST(events.Add("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  BOOST_TEST(events.last_id() == "1");
  BOOST_TEST(events.TakeRest() == "id: 2\nda");
  BOOST_TEST(events.last_id() == "1");
}

BOOST_AUTO_TEST_CASE(line_ends_may_be_carriage_return_and_line_feed) {
  EventStreamSplitter events;
  BOOST_TEST(events.Add("id: 7\r\ndata: x\r\n\r\n") ==
             "id: 7\r\ndata: x\r\n\r\n");
  BOOST_TEST(events.last_id() == "7");
}

BOOST_AUTO_TEST_CASE(after_a_break_the_next_stream_starts_afresh) {
  EventStreamSplitter events;
  static_cast<void>(events.Add("id: 1\ndata: a\n\nid: 2\ndata: brok"));
  static_cast<void>(events.TakeRest());
  BOOST_TEST(events.Add("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(events.last_id() == "2");
}

// However a stream is cut into reads, the same events come out.
RC_BOOST_PROP(events_do_not_depend_on_how_bytes_arrive,
              (const std::vector<std::uint8_t>& cuts)) {
  std::string stream;
  for (int i = 1; i <= 20; ++i) {
    stream += "id: " + std::to_string(i) +
              "\ndata: " + std::string(static_cast<std::size_t>(i * 3), 'x') +
              "\n\n";
  }
  EventStreamSplitter events;
  std::string out;
  std::size_t at = 0;
  for (const std::uint8_t cut : cuts) {
    const std::size_t size = std::min<std::size_t>(cut, stream.size() - at);
    out += events.Add(std::string_view(stream).substr(at, size));
    at += size;
  }
  out += events.Add(std::string_view(stream).substr(at));
  RC_ASSERT(out == stream);
  RC_ASSERT(events.last_id() == "20");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
