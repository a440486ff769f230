#pragma once

#include "amaranthwind/base/ManualClock.h"
#include "amaranthwind/base/Random.h"
#include "amaranthwind/journal/Appender.h"
#include "amaranthwind/journal/CellReplay.h"
#include "amaranthwind/journal/NoteReplay.h"
#include "amaranthwind/journal/testing/ClockWaiter.h"
#include "amaranthwind/journal/testing/FakeCodec.h"
#include "amaranthwind/journal/testing/FakeLog.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace amaranthwind::journal {

inline constexpr std::string_view kCell = "cells/z1";

/** A log with everything that one writer needs. */
struct JournalFixture
{
  FakeLog log;
  FakeCodec codec;
  base::ManualClock clock;
  base::RandomEngine random{ 17 };
  std::function<void()> duringWait;
  ClockWaiter waiter{ clock, [this] {
                       if (this->duringWait) {
                         this->duringWait();
                       }
                     } };
  Appender appender{ log, codec, clock, waiter };

  Record Make(RecordBody aBody)
  {
    return { base::MakeRecordId(this->random), std::move(aBody) };
  }

  AppendTask Task(std::string_view aStream,
                  RecordBody aBody,
                  base::LogOffset aFrom = {})
  {
    return {
      std::string(aStream), this->Make(std::move(aBody)), aFrom, {}, false
    };
  }

  /** Reads the stream of aReplay to its end. */
  template<typename Replay>
  std::vector<ReplayedRecord> Read(Replay& aReplay)
  {
    const std::string_view stream =
      std::is_same_v<Replay, CellReplay> ? kCell : kNotesStream;
    auto report = ReadToEnd(this->log, stream, aReplay);
    REQUIRE(report.has_value());
    return std::move(report).value();
  }
  /** Appends directly to the log, bypassing the Appender. */
  base::LogOffset Put(std::string_view aStream, const Record& aRecord)
  {
    return this->log.Append(aStream, this->codec.Encode(aRecord)).value();
  }
  base::LogOffset Put(std::string_view aStream, RecordBody aBody)
  {
    return this->Put(aStream, this->Make(std::move(aBody)));
  }

  base::FencingToken PutEpoch(std::string_view aWriter)
  {
    return base::FencingToken(
      this->Put(kCell, EpochRecord{ base::EntryId(aWriter) }).Get());
  }
};

inline JobAcceptedRecord
Accepted(base::FencingToken aToken,
         std::string_view aJob,
         std::uint32_t aMaxRuns = 1)
{
  JobAcceptedRecord record;
  record.token = aToken;
  record.spec.id = base::JobId(aJob);
  record.spec.maxRuns = aMaxRuns;
  record.spec.payload = "payload";
  return record;
}

inline GangDecisionRecord
Decision(base::FencingToken aToken,
         std::string_view aJob,
         std::uint32_t aAttempt,
         bool aIsCommit = true)
{
  return { aToken,
           { base::JobId(aJob), base::Attempt(aAttempt) },
           aIsCommit,
           { base::TargetId("w1"), base::TargetId("w2") } };
}

inline AttemptEndedRecord
AttemptEnded(base::FencingToken aToken,
             std::string_view aJob,
             std::uint32_t aAttempt,
             AttemptOutcome aOutcome)
{
  return { aToken, { base::JobId(aJob), base::Attempt(aAttempt) }, aOutcome };
}

/** Returns a note that adds one account. */
inline NoteRecord
Note(std::uint64_t aBase, std::string_view aAccount)
{
  policy::Account account;
  account.id = base::AccountId(aAccount);
  NoteRecord record;
  record.note.base = base::PolicyVersion(aBase);
  record.note.changes.emplace_back(policy::PutAccount{ account });
  return record;
}

inline std::vector<Verdict>
Verdicts(const std::vector<ReplayedRecord>& aReport)
{
  std::vector<Verdict> verdicts;
  verdicts.reserve(aReport.size());
  for (const ReplayedRecord& each : aReport) {
    verdicts.push_back(each.verdict);
  }
  return verdicts;
}

} // namespace amaranthwind::journal
