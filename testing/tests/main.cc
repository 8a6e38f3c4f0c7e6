// Test module of the tests that run real processes.
#define BOOST_TEST_MODULE processes
#include <boost/test/unit_test.hpp>
