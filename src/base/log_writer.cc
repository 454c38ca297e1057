#include "base/log_writer.h"

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include <spdlog/pattern_formatter.h>

#include "base/event.h"

namespace vanillaloft::base {

namespace {

constexpr const char* kLoggerName = "vanillaloftd";
// Lines that come within this time are written together.
constexpr std::chrono::milliseconds kBatchTime{ 20 };

std::shared_ptr<LogWriter> sProcessLog; // set once, at the start

std::uint64_t CountLines(std::string_view aText)
{
  return static_cast<std::uint64_t>(std::ranges::count(aText, '\n'));
}

// Writes a text, and waits as long as the reader does not read. Returns the part that
// could not be written.
std::string_view WriteAll(int aDescriptor, std::string_view aText)
{
  while (!aText.empty()) {
    ssize_t count = write(aDescriptor, aText.data(), aText.size());
    if (count >= 0) {
      aText.remove_prefix(static_cast<std::size_t>(count));
    } else if (errno == EAGAIN) {
      pollfd output{ aDescriptor, POLLOUT, 0 };
      poll(&output, 1, -1);
    } else if (errno != EINTR) {
      break;
    }
  }
  return aText;
}

// The line that tells of dropped ones, in the form of the others.
std::string DroppedReport(std::uint64_t aLines, std::uint64_t aTotal)
{
  const EventInfo& info = InfoOf(Event::LogLinesDropped);
  std::string text = fmt::format(kEventFormat,
                                 static_cast<unsigned>(info.mEvent),
                                 info.mName,
                                 fmt::format("lines={} total={}", aLines, aTotal));
  spdlog::details::log_msg message(kLoggerName, spdlog::level::warn, text);
  spdlog::memory_buf_t line;
  spdlog::pattern_formatter().format(message, line);
  return fmt::to_string(line);
}

} // namespace

// The lines that wait. Used from the threads that log and from the one that writes.
class LogWriter::Queue
{
public:
  explicit Queue(int aDescriptor)
    : mDescriptor(aDescriptor)
  {
  }

  void Push(std::string_view aLine)
  {
    std::lock_guard lock(mMutex);
    if (mLines.size() + aLine.size() > kMaxQueuedLogBytes) {
      ++mDropped;
      return;
    }
    bool mayWait = mLines.empty();
    mLines += aLine;
    if (mayWait) {
      mFilled.notify_one();
    }
  }

  void CountDropped()
  {
    std::lock_guard lock(mMutex);
    ++mDropped;
  }

  // Writes lines until End.
  void Run()
  {
    std::unique_lock lock(mMutex);
    for (;;) {
      mFilled.wait(lock, [this] { return mEnded || !mLines.empty(); });
      if (!mEnded && !mHurried) {
        mFilled.wait_for(lock, kBatchTime, [this] { return mEnded || mHurried; });
      }
      if (mLines.empty()) {
        return;
      }
      WriteBatch(lock);
    }
  }

  void End()
  {
    std::lock_guard lock(mMutex);
    mEnded = true;
    mFilled.notify_one();
  }

  bool AwaitWritten(std::chrono::milliseconds aMost)
  {
    std::unique_lock lock(mMutex);
    mHurried = true;
    mFilled.notify_one();
    bool written =
      mWritten.wait_for(lock, aMost, [this] { return mLines.empty() && mWriting == 0; });
    mHurried = false;
    return written;
  }

  std::size_t HeldBytes() const
  {
    std::lock_guard lock(mMutex);
    return mLines.size() + mWriting;
  }

  std::uint64_t Dropped() const
  {
    std::lock_guard lock(mMutex);
    return mDropped;
  }

private:
  // Writes the lines that are queued, without the lock. A line that was written in part
  // is ended before the next one.
  void WriteBatch(std::unique_lock<std::mutex>& aLock)
  {
    std::swap(mLines, mBatch);
    mWriting = mBatch.size();
    aLock.unlock();
    std::string_view rest = WriteAll(mDescriptor, mBatch);
    aLock.lock();
    bool inLine = !rest.empty() && rest.size() < mBatch.size() &&
                  mBatch[mBatch.size() - rest.size() - 1] != '\n';
    mDropped += CountLines(rest);
    mBatch.clear();
    mWriting = 0;
    if (inLine) {
      mLines.insert(0, 1, '\n');
    }
    if (rest.empty() && mDropped > mReported) {
      mLines += DroppedReport(mDropped - mReported, mDropped);
      mReported = mDropped;
    }
    mWritten.notify_all();
  }

  const int mDescriptor;
  mutable std::mutex mMutex;
  std::condition_variable mFilled;
  std::condition_variable mWritten;
  std::string mLines;
  std::string mBatch;       // being written, used by the writing thread only
  std::size_t mWriting = 0; // size of mBatch while it is being written
  std::uint64_t mDropped = 0;
  std::uint64_t mReported = 0; // dropped lines that a line has told of
  bool mHurried = false;       // lines are written at once
  bool mEnded = false;
};

LogWriter::LogWriter(int aDescriptor)
  : mQueue(std::make_shared<Queue>(aDescriptor))
{
  std::thread([queue = mQueue] { queue->Run(); }).detach();
}

LogWriter::~LogWriter()
{
  mQueue->End();
}

void LogWriter::sink_it_(const spdlog::details::log_msg& aMessage)
{
  spdlog::memory_buf_t line;
  formatter_->format(aMessage, line);
  mQueue->Push({ line.data(), line.size() });
}

bool LogWriter::AwaitWritten(std::chrono::milliseconds aMost)
{
  return mQueue->AwaitWritten(aMost);
}

std::size_t LogWriter::HeldBytes() const
{
  return mQueue->HeldBytes();
}

std::uint64_t LogWriter::DroppedLines() const
{
  return mQueue->Dropped();
}

void LogWriter::CountDroppedLine()
{
  mQueue->CountDropped();
}

// A line that cannot be formatted is dropped. By default the library writes that to the
// standard error, and the caller waits for the reader.
void StartLog(int aDescriptor)
{
  sProcessLog = std::make_shared<LogWriter>(aDescriptor);
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(kLoggerName, sProcessLog));
  spdlog::set_error_handler([](const std::string&) { sProcessLog->CountDroppedLine(); });
}

bool AwaitLogWritten(std::chrono::milliseconds aMost)
{
  return !sProcessLog || sProcessLog->AwaitWritten(aMost);
}

std::uint64_t DroppedLogLines()
{
  return sProcessLog ? sProcessLog->DroppedLines() : 0;
}

} // namespace vanillaloft::base
