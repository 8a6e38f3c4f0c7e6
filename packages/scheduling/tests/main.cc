// Main function of the scheduling package's tests.
#define BOOST_TEST_MODULE scheduling
#include <boost/test/unit_test.hpp>
