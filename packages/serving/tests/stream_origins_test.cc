// Tests of which service and software version a stream may go on at.
#include "bambooquay/serving/stream_origins.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <variant>
#include <vector>

#include "bambooquay/serving/fleet_contact.h"
#include "bambooquay/serving/stream_origin_table.h"
#include "support/fake_table.h"

namespace bambooquay {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kService("s");
const ServiceName kOtherService("t");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v1.1");
const StreamKey kStream = MakeStreamKey(RequestId("a"));
const StreamKey kOtherStream = MakeStreamKey(RequestId("b"));

std::optional<SoftwareVersion> FindVersion(const StreamOrigins& origins,
                                           StreamKey stream) {
  const auto found = origins.Find({kService}, stream);
  const auto* origin = std::get_if<StreamOrigin>(&found);
  return origin == nullptr ? std::nullopt : std::optional(origin->version);
}

struct OriginsFixture {
  OriginsFixture() {
    origins.NoteVersion(kService, kOld);
    origins.SetLoaded();
  }

  /// @returns the version at which a stream of kService may go on.
  [[nodiscard]] std::optional<SoftwareVersion> Find(StreamKey stream) const {
    return FindVersion(origins, stream);
  }

  ManualClock clock;
  bool is_current = true;
  StreamOrigins origins{clock, [this] { return is_current; }};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(stream_origins)

BOOST_AUTO_TEST_CASE(unknown_streams_go_on_only_while_one_version_serves) {
  OriginsFixture fixture;
  BOOST_TEST((fixture.Find(kStream) == kOld));
  BOOST_TEST(fixture.origins.MakeReports().empty());
  fixture.origins.NoteVersion(kService, kNew);
  BOOST_TEST(!fixture.Find(kStream).has_value());
  // Streams of the old version may be taken up for a while after it has left.
  for (int i = 0; i < 59; ++i) {
    fixture.clock.Advance(seconds(1));
    fixture.origins.NoteVersion(kService, kNew);
    fixture.origins.RemoveExpired();
    BOOST_TEST(!fixture.Find(kStream).has_value());
  }
  fixture.clock.Advance(seconds(1));
  fixture.origins.RemoveExpired();
  BOOST_TEST((fixture.Find(kStream) == kNew));
}

BOOST_AUTO_TEST_CASE(an_entry_out_of_touch_does_not_guess_the_only_version) {
  OriginsFixture fixture;
  fixture.origins.Record(kOtherStream, {kService, kOld});
  fixture.is_current = false;
  BOOST_TEST(!fixture.Find(kStream).has_value());
  BOOST_TEST((fixture.Find(kOtherStream) == kOld));
  fixture.is_current = true;
  BOOST_TEST((fixture.Find(kStream) == kOld));
}

BOOST_AUTO_TEST_CASE(an_entry_is_in_touch_with_most_others_or_the_store) {
  BOOST_TEST(IsInTouch({}));
  BOOST_TEST(!IsInTouch({.known_peers = 1}));
  BOOST_TEST(IsInTouch({.known_peers = 2, .heard_peers = 1}));
  // Two entries that are cut off together hear only each other.
  BOOST_TEST(
      !IsInTouch({.known_peers = 7, .heard_peers = 1, .list_age = seconds(3)}));
  BOOST_TEST(IsInTouch({.known_peers = 7, .list_age = milliseconds(200)}));
  // What waited in the sockets during a pause is not of the present.
  BOOST_TEST(!IsInTouch({.known_peers = 2,
                         .heard_peers = 2,
                         .list_age = milliseconds(0),
                         .since_pause = milliseconds(100)}));
  BOOST_TEST(IsInTouch(
      {.known_peers = 2, .heard_peers = 2, .since_pause = seconds(1)}));
  BOOST_TEST(!IsInTouch(
      {.known_peers = 2, .heard_peers = 2, .has_other_routes = true}));
}

BOOST_AUTO_TEST_CASE(nothing_is_known_before_the_earlier_versions_are_read) {
  const ManualClock clock;
  StreamOrigins origins(clock, [] { return true; });
  origins.NoteVersion(kService, kNew);
  BOOST_TEST(!FindVersion(origins, kStream).has_value());
  origins.Record(kOtherStream, {kService, kNew});
  BOOST_TEST((FindVersion(origins, kOtherStream) == kNew));
}

BOOST_AUTO_TEST_CASE(other_entries_learn_of_streams_in_progress) {
  OriginsFixture fixture;
  fixture.origins.Record(kStream, {kService, kOld});
  fixture.origins.Record(kOtherStream, {kService, kNew});
  fixture.origins.RecordEnd(kOtherStream);
  EntryStatus status;
  status.stream_versions = fixture.origins.MakeReports();
  const auto message =
      DecodeStatus(EncodeStatus({InstanceId("entry-1"), 1, status}));
  BOOST_REQUIRE(message.has_value());
  OriginsFixture other;
  other.origins.Merge(std::get<EntryStatus>(message->body).stream_versions);
  BOOST_TEST((other.Find(kStream) == kOld));
  BOOST_TEST(!other.Find(kOtherStream).has_value());
  // A stream is reported again only after a while, and so is what was heard of
  // others.
  const auto reports = fixture.origins.MakeReports();
  BOOST_REQUIRE(reports.size() == 2U);
  BOOST_TEST(reports[0].streams.empty());
  BOOST_TEST(other.origins.MakeReports()[0].streams.empty());
  fixture.clock.Advance(seconds(1));
  BOOST_TEST(fixture.origins.MakeReports()[0].streams.size() == 1U);
}

// Services `s` and `t` share the streams of a route.
BOOST_AUTO_TEST_CASE(a_stream_goes_on_only_at_the_service_that_began_it) {
  OriginsFixture fixture;
  fixture.origins.NoteVersion(kOtherService, kNew);
  fixture.origins.Record(kStream, {kService, kOld});
  const auto find = [&](const std::vector<ServiceName>& services,
                        StreamKey stream) {
    return fixture.origins.Find(services, stream);
  };
  const StreamOrigin begun_by{kService, kOld};
  BOOST_TEST((find({kOtherService, kService}, kStream) ==
              std::variant<StreamOrigin, StreamObstacle>(begun_by)));
  BOOST_TEST((
      find({kOtherService}, kStream) ==
      std::variant<StreamOrigin, StreamObstacle>(StreamObstacle::kRouteMoved)));
  const std::variant<StreamOrigin, StreamObstacle> unknown =
      StreamObstacle::kOriginUnknown;
  BOOST_TEST((find({kOtherService, kService}, kOtherStream) == unknown));
  BOOST_TEST((find({}, kOtherStream) == unknown));
  // The route has moved to one of them.
  fixture.origins.NoteShared(kService, fixture.clock.Now());
  BOOST_TEST((find({kService}, kOtherStream) == unknown));
  fixture.clock.Advance(StreamOrigins::kMaxOriginAge);
  fixture.origins.NoteVersion(kService, kOld);
  fixture.origins.RemoveExpired();
  BOOST_TEST((find({kService}, kOtherStream) ==
              std::variant<StreamOrigin, StreamObstacle>(begun_by)));
}

BOOST_AUTO_TEST_CASE(other_entries_learn_of_shared_services_and_their_streams) {
  OriginsFixture fixture;
  fixture.origins.Record(kStream, {kService, kOld});
  fixture.origins.NoteShared(kService, fixture.clock.Now());
  fixture.clock.Advance(seconds(50));
  EntryStatus status;
  status.stream_versions = fixture.origins.MakeReports();
  const auto message =
      DecodeStatus(EncodeStatus({InstanceId("entry-1"), 1, status}));
  BOOST_REQUIRE(message.has_value());
  OriginsFixture other;
  other.origins.Merge(std::get<EntryStatus>(message->body).stream_versions);
  BOOST_TEST((other.Find(kStream) == kOld));
  BOOST_TEST(!other.Find(kOtherStream).has_value());
  // Its age does not begin anew at each entry.
  other.clock.Advance(seconds(10));
  other.origins.RemoveExpired();
  BOOST_TEST((other.Find(kOtherStream) == kOld));
  // An entry that starts reads it from the store.
  const auto row =
      DecodeStreamVersions(EncodeStreamVersions(fixture.origins.Snapshot()));
  BOOST_REQUIRE(row.has_value());
  OriginsFixture started;
  started.origins.Merge(*row);
  BOOST_TEST((started.Find(kStream) == kOld));
  BOOST_TEST(!started.Find(kOtherStream).has_value());
}

// The age of a version that has left doesn't begin anew at each entry.
BOOST_AUTO_TEST_CASE(entries_do_not_keep_a_version_alive_for_each_other) {
  OriginsFixture fixture;
  OriginsFixture other;
  fixture.origins.NoteVersion(kService, kNew);
  for (int i = 0; i < 62; ++i) {
    fixture.origins.Merge(other.origins.MakeReports());
    other.origins.Merge(fixture.origins.MakeReports());
    fixture.clock.Advance(seconds(1));
    other.clock.Advance(seconds(1));
    fixture.origins.NoteVersion(kService, kNew);
    other.origins.NoteVersion(kService, kNew);
    fixture.origins.RemoveExpired();
    other.origins.RemoveExpired();
  }
  BOOST_TEST((fixture.Find(kStream) == kNew));
  BOOST_TEST((other.Find(kStream) == kNew));
}

// Each entry forgets what is too old at a time of its own.
BOOST_AUTO_TEST_CASE(
    an_origin_is_not_learned_again_from_an_entry_that_is_later) {
  OriginsFixture fixture;
  OriginsFixture other;
  for (OriginsFixture* entry : {&fixture, &other}) {
    entry->origins.NoteVersion(kService, kNew);
    entry->origins.NoteShared(kService, entry->clock.Now());
  }
  for (int half_seconds = 1; half_seconds <= 130; ++half_seconds) {
    fixture.clock.Advance(milliseconds(500));
    other.clock.Advance(milliseconds(500));
    OriginsFixture& due = half_seconds % 2 == 0 ? fixture : other;
    due.origins.NoteVersion(kService, kNew);
    due.origins.RemoveExpired();
    fixture.origins.Merge(other.origins.MakeReports());
    other.origins.Merge(fixture.origins.MakeReports());
  }
  BOOST_TEST((fixture.Find(kStream) == kNew));
  BOOST_TEST((other.Find(kStream) == kNew));
}

// An upstream may serve a stream for long after it has left the list.
BOOST_AUTO_TEST_CASE(
    a_version_is_remembered_while_its_streams_are_in_progress) {
  OriginsFixture fixture;
  OriginsFixture other;
  fixture.origins.NoteVersion(kService, kNew);
  other.origins.NoteVersion(kService, kNew);
  fixture.origins.Record(kStream, {kService, kOld});
  const auto pass = [&](int count) {
    for (int i = 0; i < count; ++i) {
      other.origins.Merge(fixture.origins.MakeReports());
      fixture.origins.Merge(other.origins.MakeReports());
      fixture.clock.Advance(seconds(1));
      other.clock.Advance(seconds(1));
      fixture.origins.NoteVersion(kService, kNew);
      other.origins.NoteVersion(kService, kNew);
      fixture.origins.RemoveExpired();
      other.origins.RemoveExpired();
    }
  };
  pass(120);
  BOOST_TEST((fixture.Find(kStream) == kOld));
  BOOST_TEST((other.Find(kStream) == kOld));
  BOOST_TEST(!other.Find(kOtherStream).has_value());
  fixture.origins.RecordEnd(kStream);
  pass(62);
  BOOST_TEST((other.Find(kOtherStream) == kNew));
  BOOST_TEST((fixture.Find(kOtherStream) == kNew));
}

BOOST_AUTO_TEST_CASE(an_entry_that_starts_reads_the_streams_from_the_store) {
  OriginsFixture before;
  before.origins.Record(kStream, {kService, kOld});
  before.origins.Record(kOtherStream, {kService, kNew});
  EventLoop loop;
  testing::FakeTable table(loop);
  StreamOriginTable writer(loop, table, before.origins, [] { return true; });
  writer.Start();
  const std::uint64_t version = table.version;
  BOOST_REQUIRE(
      loop.RunUntil([&] { return table.version > version; }, seconds(5)));
  const ManualClock clock;
  StreamOrigins after(clock, [] { return true; });
  after.NoteVersion(kService, kNew);
  StreamOriginTable reader(loop, table, after, [] { return false; });
  reader.Start();
  BOOST_REQUIRE(loop.RunUntil(
      [&] { return FindVersion(after, kStream).has_value(); }, seconds(5)));
  BOOST_TEST((FindVersion(after, kStream) == kOld));
  BOOST_TEST((FindVersion(after, kOtherStream) == kNew));
  BOOST_TEST(!FindVersion(after, MakeStreamKey(RequestId("c"))).has_value());
  BOOST_TEST(!DecodeStreamVersions("no row").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bambooquay
