// The serving package's unit tests.
#define BOOST_TEST_MODULE serving
#include <boost/test/unit_test.hpp>
