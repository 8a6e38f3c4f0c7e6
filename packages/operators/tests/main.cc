// Entry point of the operators package's tests.
#define BOOST_TEST_MODULE operators
#include <boost/test/unit_test.hpp>
