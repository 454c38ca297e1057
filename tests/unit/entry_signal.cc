// Tests of the signal that wakes waiting coroutines.
#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>

#include "entry/signal.h"

using namespace vanillaloft;
using namespace std::chrono_literals;

// Guards against a process that ends with a memory fault after a planned stop: peers wait
// for news of the store's copy until the end, and the I/O context outlives the signal.
TEST_CASE("a coroutine that still waits may be destroyed after its signal")
{
  auto context = std::make_unique<boost::asio::io_context>();
  auto signal = std::make_unique<entry::Signal>();
  boost::asio::co_spawn(*context, signal->Wait(*context, 10s), boost::asio::detached);
  CHECK(context->poll() > 0);
  signal.reset();
  context.reset();
}
