#include "amaranthwind/journal/testing/FakeLog.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::journal {

using base::ErrorCode;
using base::Fail;

base::LogOffset
FakeLog::Store(std::string_view aStream, std::vector<std::byte> aPayload)
{
  Stream& stream =
    this->streams.try_emplace(std::string(aStream)).first->second;
  stream.payloads.push_back(std::move(aPayload));
  return base::LogOffset(stream.first + stream.payloads.size() - 1);
}

base::Result<base::LogOffset>
FakeLog::Append(std::string_view aStream, std::span<const std::byte> aPayload)
{
  std::lock_guard lock(this->mutex);
  ++this->appendCalls;
  this->timeSpent += this->latency;
  if (this->isDown) {
    return Fail(ErrorCode::LogUnavailable, aStream);
  }
  AppendFault fault = AppendFault::None;
  if (!this->faults.empty()) {
    fault = this->faults.front();
    this->faults.pop_front();
  }
  std::vector<std::byte> payload(aPayload.begin(), aPayload.end());
  if (fault == AppendFault::Refused) {
    return Fail(ErrorCode::LogUnavailable, aStream);
  }
  for (DelayedAppend& append : std::exchange(this->delayedUntilNext, {})) {
    this->Store(append.stream, std::move(append.payload));
  }
  switch (fault) {
    case AppendFault::ResponseLost:
      this->Store(aStream, std::move(payload));
      break;
    case AppendFault::Delayed:
      this->delayed.push_back({ std::string(aStream), std::move(payload) });
      break;
    case AppendFault::DelayedUntilNext:
      this->delayedUntilNext.push_back(
        { std::string(aStream), std::move(payload) });
      break;
    case AppendFault::RequestLost:
      break;
    default:
      return this->Store(aStream, std::move(payload));
  }
  return Fail(ErrorCode::AppendUnconfirmed, aStream);
}

base::Result<ReadBatch>
FakeLog::Read(std::string_view aStream,
              base::LogOffset aFrom,
              std::uint32_t aMax)
{
  std::lock_guard lock(this->mutex);
  ++this->readCalls;
  this->timeSpent += this->latency;
  if (this->isDown || this->failingReads > 0) {
    this->failingReads -= this->failingReads > 0 ? 1 : 0;
    return Fail(ErrorCode::LogUnavailable, aStream);
  }
  const Stream& stream =
    this->streams.try_emplace(std::string(aStream)).first->second;
  const std::uint64_t end = stream.first + stream.payloads.size();
  if (aFrom.Get() < stream.first) {
    return Fail(ErrorCode::OffsetExpired, std::to_string(stream.first));
  }
  if (aFrom.Get() > end) {
    return Fail(ErrorCode::OffsetInvalid, std::to_string(end));
  }
  ReadBatch batch;
  batch.first = base::LogOffset(stream.first);
  batch.end = base::LogOffset(end);
  const std::uint64_t readEnd = std::min(end, aFrom.Get() + aMax);
  for (std::uint64_t offset = aFrom.Get(); offset < readEnd; ++offset) {
    batch.records.push_back(
      { base::LogOffset(offset), stream.payloads[offset - stream.first] });
  }
  return batch;
}

void
FakeLog::InjectAppendFaults(std::span<const AppendFault> aFaults)
{
  std::lock_guard lock(this->mutex);
  this->faults.insert(this->faults.end(), aFaults.begin(), aFaults.end());
}

void
FakeLog::FailReads(std::uint32_t aCount)
{
  std::lock_guard lock(this->mutex);
  this->failingReads = aCount;
}

void
FakeLog::SetDown(bool aIsDown)
{
  std::lock_guard lock(this->mutex);
  this->isDown = aIsDown;
}

void
FakeLog::SetLatency(base::Duration aLatency)
{
  std::lock_guard lock(this->mutex);
  this->latency = aLatency;
}

void
FakeLog::ReleaseDelayed()
{
  std::lock_guard lock(this->mutex);
  for (DelayedAppend& append : std::exchange(this->delayed, {})) {
    this->Store(append.stream, std::move(append.payload));
  }
}

void
FakeLog::ExpireBelow(std::string_view aStream, base::LogOffset aFirst)
{
  std::lock_guard lock(this->mutex);
  Stream& stream =
    this->streams.try_emplace(std::string(aStream)).first->second;
  while (stream.first < aFirst.Get() && !stream.payloads.empty()) {
    stream.payloads.pop_front();
    ++stream.first;
  }
}

base::LogOffset
FakeLog::End(std::string_view aStream) const
{
  std::lock_guard lock(this->mutex);
  const auto found = this->streams.find(aStream);
  return found == this->streams.end()
           ? base::LogOffset()
           : base::LogOffset(found->second.first +
                             found->second.payloads.size());
}

std::uint64_t
FakeLog::AppendCalls() const
{
  std::lock_guard lock(this->mutex);
  return this->appendCalls;
}

std::uint64_t
FakeLog::ReadCalls() const
{
  std::lock_guard lock(this->mutex);
  return this->readCalls;
}

base::Duration
FakeLog::TimeSpent() const
{
  std::lock_guard lock(this->mutex);
  return this->timeSpent;
}

} // namespace amaranthwind::journal
