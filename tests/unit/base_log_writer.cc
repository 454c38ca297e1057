// Unit tests of the output of the log: pipes whose reader reads, pauses or is gone.
#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <string>
#include <thread>

#include <fcntl.h>
#include <unistd.h>

#include <spdlog/logger.h>

#include "base/log_writer.h"

using namespace vanillaloft::base;
using namespace std::chrono_literals;

namespace {

constexpr auto kLongTime = 10s; // far more than is needed
const std::string kText(1000, 'x');

std::array<int, 2> MakePipe(int aFlags)
{
  std::array<int, 2> ends{};
  REQUIRE(pipe2(ends.data(), aFlags) == 0);
  return ends;
}

// A log that is written to a pipe, which the test reads.
struct PipedLog
{
  std::array<int, 2> mPipe;
  std::shared_ptr<LogWriter> mWriter;
  spdlog::logger mLogger;

  explicit PipedLog(int aFlags = 0)
    : mPipe(MakePipe(aFlags))
    , mWriter(std::make_shared<LogWriter>(mPipe[1]))
    , mLogger("test", mWriter)
  {
    mLogger.set_pattern("%v");
  }
  // The writing descriptor stays open, because the writer's thread may still use it.
  ~PipedLog() { CloseReader(); }

  void CloseReader()
  {
    if (mPipe[0] >= 0) {
      close(mPipe[0]);
      mPipe[0] = -1;
    }
  }

  // Logs more than the pipe and the queue hold. Returns the number of lines.
  unsigned LogTooMuch()
  {
    constexpr unsigned kLines = 2000;
    for (unsigned i = 0; i < kLines; ++i) {
      mLogger.info("{} {}", i, kText);
    }
    return kLines;
  }

  // Reads until aEnd has been read.
  std::string ReadUntil(const std::string& aEnd)
  {
    std::string text;
    std::array<char, 4096> bytes;
    while (text.find(aEnd) == std::string::npos) {
      ssize_t count = read(mPipe[0], bytes.data(), bytes.size());
      if (count > 0) {
        text.append(bytes.data(), static_cast<std::size_t>(count));
      }
    }
    return text;
  }
};

unsigned LinesOf(const std::string& aText)
{
  unsigned lines = 0;
  for (std::size_t at = 0; (at = aText.find(kText + "\n", at)) != std::string::npos;
       ++at) {
    ++lines;
  }
  return lines;
}

} // namespace

TEST_CASE("lines are written in their order, and all before the process ends")
{
  PipedLog log;
  log.mLogger.info("one");
  log.mLogger.info("two");
  CHECK(log.mWriter->AwaitWritten(kLongTime));
  CHECK(log.ReadUntil("two\n") == "one\ntwo\n");
  CHECK(log.mWriter->HeldBytes() == 0);
  CHECK(log.mWriter->DroppedLines() == 0);
}

// Guards against an instance that answers nothing (CONFIG) while the reader of its log
// pauses: each line waited for it. What is not read takes a bounded part of the memory.
TEST_CASE("a thread that logs does not wait for a reader that pauses")
{
  PipedLog log;
  unsigned logged = log.LogTooMuch(); // would never return
  std::uint64_t dropped = log.mWriter->DroppedLines();
  CHECK(dropped > 0);
  CHECK(log.mWriter->HeldBytes() <= 2 * kMaxQueuedLogBytes);
  CHECK_FALSE(log.mWriter->AwaitWritten(50ms)); // nor does the end of the process
  std::string report = "name=log-lines-dropped lines=" + std::to_string(dropped) +
                       " total=" + std::to_string(dropped) + "\n";
  std::string text = log.ReadUntil(report); // the reader reads on
  CHECK(LinesOf(text) == logged - dropped);
  log.mLogger.info("after");
  CHECK(log.ReadUntil("after\n") == "after\n");
}

TEST_CASE("a pipe that is full and does not let its writer wait is written as it is read")
{
  PipedLog log(O_NONBLOCK);
  unsigned logged = log.LogTooMuch();
  std::string text = log.ReadUntil("name=log-lines-dropped");
  CHECK(LinesOf(text) == logged - log.mWriter->DroppedLines());
}

TEST_CASE("lines are dropped and counted when the reader is gone")
{
  std::signal(SIGPIPE, SIG_IGN); // as in the process
  PipedLog log;
  log.CloseReader();
  log.mLogger.info("one");
  log.mLogger.info("two");
  CHECK(log.mWriter->AwaitWritten(kLongTime));
  CHECK(log.mWriter->DroppedLines() == 2);
}

TEST_CASE("lines are dropped and counted when the disk is full")
{
  int full = open("/dev/full", O_WRONLY | O_CLOEXEC);
  REQUIRE(full >= 0);
  auto writer = std::make_shared<LogWriter>(full);
  spdlog::logger logger("test", writer);
  logger.info("one");
  CHECK(writer->AwaitWritten(kLongTime));
  CHECK(writer->DroppedLines() == 1);
}

TEST_CASE("a writer that is gone ends its thread only after the lines")
{
  PipedLog log;
  log.mLogger.info("last");
  log.mLogger.sinks().clear();
  log.mWriter.reset();
  CHECK(log.ReadUntil("last\n") == "last\n");
}
