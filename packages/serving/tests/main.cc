// Test runner for the unit tests of the serving package.
#define BOOST_TEST_MODULE serving
#include <boost/test/unit_test.hpp>
