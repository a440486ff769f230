#include "amaranthwind/journal/StreamReplay.h"

#include <charconv>
#include <iterator>
#include <string>

namespace amaranthwind::journal {

base::Result<base::LogOffset>
ParseExpiredOffset(const base::Error& aError)
{
  std::uint64_t offset = 0;
  const std::string& text = aError.subject;
  const char* const end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, offset);
  if (code != std::errc{} || stop != end) {
    return base::Fail(base::ErrorCode::Malformed, "lowest retained offset");
  }
  return base::LogOffset(offset);
}

base::Result<ReadProgress>
ReadOnce(LogClient& aLog, std::string_view aStream, StreamReplay& aReplay)
{
  auto batch = aLog.Read(aStream, aReplay.NextOffset(), kReadBatchSize);
  if (batch.has_error() &&
      batch.error().code == base::ErrorCode::OffsetExpired) {
    BOOST_OUTCOME_TRY(const auto first, ParseExpiredOffset(batch.error()));
    aReplay.SkipTo(first);
    return ReadProgress{};
  }
  if (batch.has_error()) {
    return batch.as_failure();
  }
  ReadProgress progress;
  progress.records = aReplay.Consume(batch.value());
  progress.isAtEnd = aReplay.NextOffset() >= batch.value().end;
  return progress;
}

base::Result<std::vector<ReplayedRecord>>
ReadToEnd(LogClient& aLog, std::string_view aStream, StreamReplay& aReplay)
{
  std::vector<ReplayedRecord> report;
  for (;;) {
    const base::LogOffset before = aReplay.NextOffset();
    BOOST_OUTCOME_TRY(auto progress, ReadOnce(aLog, aStream, aReplay));
    report.insert(report.end(),
                  std::make_move_iterator(progress.records.begin()),
                  std::make_move_iterator(progress.records.end()));
    if (progress.isAtEnd) {
      return report;
    }
    if (aReplay.NextOffset() == before) {
      return base::Fail(base::ErrorCode::LogUnavailable,
                        "empty read before the end of the log");
    }
  }
}

} // namespace amaranthwind::journal
