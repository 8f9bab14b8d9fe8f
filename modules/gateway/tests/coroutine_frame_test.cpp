#include <boost/asio/awaitable.hpp>
#include <boost/test/unit_test.hpp>
#include <coroutine>
#include <string>

namespace sycamore::gateway {

template<typename T>
concept AllocatesItself = requires
{
  &T::operator new;
};

template<typename T>
concept FreesItself = requires
{
  &T::operator delete;
};

// A class that allocates and frees itself, to show that the concepts detect it.
struct PooledObject
{
  static void* operator new(size_t aSize) { return ::operator new(aSize); }
  static void operator delete(void* aMemory) { ::operator delete(aMemory); }
};

// The promise of a coroutine that returns a Value. Its operators allocate and free the frame of the
// coroutine, if it has any.
template<typename Value>
using PromiseOf = typename std::coroutine_traits<boost::asio::awaitable<Value>>::promise_type;

// Guards against a build that fails on one architecture alone: GCC 12 compares an operator of the
// promise that it inlines with the other one that it does not, and reports a mismatch.
BOOST_AUTO_TEST_CASE(CoroutineFrameOfAnAwaitableUsesTheGlobalOperators)
{
  BOOST_TEST(AllocatesItself<PooledObject>);
  BOOST_TEST(FreesItself<PooledObject>);
  BOOST_TEST(!AllocatesItself<PromiseOf<void>>);
  BOOST_TEST(!FreesItself<PromiseOf<void>>);
  BOOST_TEST(!AllocatesItself<PromiseOf<std::string>>);
  BOOST_TEST(!FreesItself<PromiseOf<std::string>>);
}

}
