// Main function of the duties package's tests.
#define BOOST_TEST_MODULE duties
#include <boost/test/unit_test.hpp>
