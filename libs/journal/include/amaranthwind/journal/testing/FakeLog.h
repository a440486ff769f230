#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/journal/LogClient.h"

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::journal {

/** Fault injected into one append to a FakeLog. */
enum class AppendFault : std::uint8_t
{
  None,
  Refused,          // LogUnavailable; not appended.
  RequestLost,      // AppendUnconfirmed; not appended.
  ResponseLost,     // AppendUnconfirmed; appended.
  Delayed,          // AppendUnconfirmed; appended by ReleaseDelayed().
  DelayedUntilNext, // AppendUnconfirmed; appended before the next append.
};

/** In-memory log with fault injection, for tests. Thread-safe. */
class FakeLog final : public LogClient
{
public:
  base::Result<base::LogOffset> Append(
    std::string_view aStream,
    std::span<const std::byte> aPayload) override;
  base::Result<ReadBatch> Read(std::string_view aStream,
                               base::LogOffset aFrom,
                               std::uint32_t aMax) override;

  /** Injects one fault into each of the next appends. */
  void InjectAppendFaults(std::span<const AppendFault> aFaults);
  /** Makes the next aCount reads fail with LogUnavailable. */
  void FailReads(std::uint32_t aCount);
  /** While down, all calls fail with LogUnavailable. */
  void SetDown(bool aIsDown);
  /** Sets the latency that each call adds to TimeSpent(). */
  void SetLatency(base::Duration aLatency);
  /** Performs the appends held back by AppendFault::Delayed. */
  void ReleaseDelayed();
  /** Deletes the records below aFirst. */
  void ExpireBelow(std::string_view aStream, base::LogOffset aFirst);

  base::LogOffset End(std::string_view aStream) const;
  std::uint64_t AppendCalls() const;
  std::uint64_t ReadCalls() const;
  base::Duration TimeSpent() const;

private:
  struct Stream
  {
    std::uint64_t first = 0;
    std::deque<std::vector<std::byte>> payloads;
  };
  struct DelayedAppend
  {
    std::string stream;
    std::vector<std::byte> payload;
  };

  base::LogOffset Store(std::string_view aStream,
                        std::vector<std::byte> aPayload);

  mutable std::mutex mutex;
  std::map<std::string, Stream, std::less<>> streams;
  std::deque<AppendFault> faults;
  std::vector<DelayedAppend> delayed;
  std::vector<DelayedAppend> delayedUntilNext;
  std::uint32_t failingReads = 0;
  bool isDown = false;
  std::uint64_t appendCalls = 0;
  std::uint64_t readCalls = 0;
  base::Duration latency{};
  base::Duration timeSpent{};
};

} // namespace amaranthwind::journal
