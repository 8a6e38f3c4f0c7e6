// Unit tests of the runtime package.
#define BOOST_TEST_MODULE runtime
#include <boost/test/unit_test.hpp>
