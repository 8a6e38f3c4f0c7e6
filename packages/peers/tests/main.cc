// Main function of the peers package's tests.
#define BOOST_TEST_MODULE peers
#include <boost/test/unit_test.hpp>
