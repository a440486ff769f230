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

/** What a FakeLog does with one append. */
enum class AppendFault : std::uint8_t
{
  None,
  Refused,        // LogUnavailable; not appended.
  LostBefore,     // AppendUnconfirmed; not appended.
  LostAfter,      // AppendUnconfirmed; appended.
  LostThenLate,   // AppendUnconfirmed; appended by ReleaseLate().
  LateBeforeNext, // AppendUnconfirmed; appended just before the next append.
};

/** A log in memory that fails on command; for tests. Thread-safe. */
class FakeLog final : public LogClient
{
public:
  base::Result<base::LogOffset> Append(
    std::string_view aStream,
    std::span<const std::byte> aPayload) override;
  base::Result<ReadBatch> Read(std::string_view aStream,
                               base::LogOffset aFrom,
                               std::uint32_t aMax) override;

  /** Faults of the next appends, one each. */
  void PlanAppends(std::span<const AppendFault> aFaults);
  /** The next aCount reads fail with LogUnavailable. */
  void FailReads(std::uint32_t aCount);
  /** All calls fail with LogUnavailable. */
  void SetDown(bool aIsDown);
  /** Each call counts aLatency into TimeSpent(). */
  void SetLatency(base::Duration aLatency);
  /** Appends what LostThenLate held back. */
  void ReleaseLate();
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
  struct Held
  {
    std::string stream;
    std::vector<std::byte> payload;
  };

  base::LogOffset Store(std::string_view aStream,
                        std::vector<std::byte> aPayload);

  mutable std::mutex mutex;
  std::map<std::string, Stream, std::less<>> streams;
  std::deque<AppendFault> faults;
  std::vector<Held> late;
  std::vector<Held> beforeNext;
  std::uint32_t failingReads = 0;
  bool isDown = false;
  std::uint64_t appendCalls = 0;
  std::uint64_t readCalls = 0;
  base::Duration latency{};
  base::Duration timeSpent{};
};

} // namespace amaranthwind::journal
