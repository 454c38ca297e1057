// The output of the log. A thread that logs never waits for the reader of the output:
// lines are queued, a thread of the writer's own writes them, and those that find no room
// are dropped and counted.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

#include <spdlog/sinks/base_sink.h>

namespace vanillaloft::base {

// Bytes of lines that wait to be written, at most. As many may be being written.
constexpr std::size_t kMaxQueuedLogBytes = 256UL * 1024;

class LogWriter final : public spdlog::sinks::base_sink<std::mutex>
{
public:
  // Writes to a descriptor that stays open as long as the process.
  explicit LogWriter(int aDescriptor);
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;
  ~LogWriter() override;

  // Waits until all lines are written, at most for aMost. Returns false if some are not.
  bool AwaitWritten(std::chrono::milliseconds aMost);
  // Bytes of lines that are queued or being written.
  std::size_t HeldBytes() const;
  // Lines that were not written, because there was no room or the output failed.
  std::uint64_t DroppedLines() const;
  void CountDroppedLine();

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override;
  void flush_() override {}

private:
  class Queue;
  // Shared with the thread, which may wait for the reader beyond this object's life.
  std::shared_ptr<Queue> mQueue;
};

// Makes a descriptor the output of the process's log.
void StartLog(int aDescriptor);

// Both are for the process's log.
bool AwaitLogWritten(std::chrono::milliseconds aMost);
std::uint64_t DroppedLogLines();

} // namespace vanillaloft::base
