// Main function of the quarantine package's tests.
#define BOOST_TEST_MODULE quarantine
#include <boost/test/unit_test.hpp>
