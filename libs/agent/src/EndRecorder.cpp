#include "amaranthwind/agent/EndRecorder.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace amaranthwind::agent {

using base::Duration;
using base::ErrorCode;
using base::TimePoint;
using dispatch::EndKind;
using dispatch::EndRecord;
using ledger::WorkerIncarnation;

namespace {

constexpr std::array<double, 12> kTimeBounds{ 0.005, 0.01, 0.02, 0.03,
                                              0.04,  0.06, 0.1,  0.2,
                                              0.5,   1.0,  3.0,  10.0 };

std::int64_t
ToMs(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

bool
IsRecordable(EndKind aKind)
{
  return aKind == EndKind::Done || aKind == EndKind::Failed;
}

} // namespace

struct EndRecorder::State : std::enable_shared_from_this<State>
{
  enum class Phase : std::uint8_t
  {
    Unrecorded,
    Recorded,
    Exempt, // Of a kind that is not recorded, or too large for the log.
  };

  struct KeptEnd
  {
    WorkerIncarnation life;
    /** Without the checkpoint. */
    dispatch::EndedTask end;
    TimePoint listedAt{};
    Phase phase = Phase::Unrecorded;
  };

  /** What one append holds. */
  struct Batch
  {
    /** One for each life. */
    std::vector<EndRecord> records;
    /** When the oldest end of the record with this index was listed. */
    std::vector<TimePoint> listedAt;
    TimePoint sentAt{};
  };

  State(const EndRecorderOptions& aOptions,
        const base::Clock& aClock,
        base::Executor& aExecutor,
        EndLog& aLog,
        telemetry::Logger& aLogger,
        telemetry::Metrics& aMetrics)
    : options(aOptions)
    , clock(aClock)
    , executor(aExecutor)
    , log(aLog)
    , logger(aLogger)
    , acknowledgementTime(aMetrics.MakeHistogram(
        { "end_acknowledgement_seconds",
          "From the listing of an end to its acknowledgement." },
        kTimeBounds))
    , recordedEnds(aMetrics.MakeCounter(
        { "ends_recorded_total",
          "Ends that the agent recorded, since no coordinator had acknowledged "
          "them in time." }))
  {
  }

  bool IsKept(const WorkerIncarnation& aLife, std::uint64_t aNumber) const
  {
    return std::any_of(
      this->ends.begin(), this->ends.end(), [&](const KeptEnd& aEach) {
        return aEach.end.number == aNumber && aEach.life == aLife;
      });
  }

  /** Makes room for one end. */
  void LimitEnds()
  {
    if (this->ends.size() < this->options.maxEnds) {
      return;
    }
    auto dropped =
      std::find_if(this->ends.begin(), this->ends.end(), [](const auto& aEach) {
        return aEach.phase != Phase::Unrecorded;
      });
    if (dropped == this->ends.end()) {
      dropped = this->ends.begin();
      this->logger.Warning("end not recorded: too many wait",
                           { { "worker", dropped->life.id },
                             { "born", dropped->life.born },
                             { "number", dropped->end.number } });
    }
    this->ends.erase(dropped);
  }

  /** Checks at the time when the oldest unrecorded end is due. */
  void Schedule()
  {
    if (this->isScheduled || this->isAppending) {
      return;
    }
    const auto oldest = this->OldestUnrecorded();
    if (oldest == this->ends.end()) {
      return;
    }
    const TimePoint due =
      std::max(oldest->listedAt + this->options.delay, this->appendNotBefore);
    this->isScheduled = true;
    this->executor.RunAfter(std::max(due - this->clock.Now(), Duration::zero()),
                            [weak = this->weak_from_this()] {
                              const auto self = weak.lock();
                              if (self != nullptr && !self->isStopped) {
                                self->isScheduled = false;
                                self->AppendIfDue();
                              }
                            });
  }

  void AppendIfDue()
  {
    const auto oldest = this->OldestUnrecorded();
    if (oldest != this->ends.end() &&
        this->clock.Now() >= std::max(oldest->listedAt + this->options.delay,
                                      this->appendNotBefore)) {
      this->Append();
    } else {
      this->Schedule();
    }
  }

  std::deque<KeptEnd>::const_iterator OldestUnrecorded() const
  {
    return std::find_if(
      this->ends.begin(), this->ends.end(), [](const auto& aEach) {
        return aEach.phase == Phase::Unrecorded;
      });
  }

  /** The oldest ends that fit, in the order of their numbers. */
  Batch CollectBatch() const
  {
    std::map<WorkerIncarnation, std::map<std::uint64_t, const KeptEnd*>> lives;
    std::size_t count = 0;
    for (const KeptEnd& each : this->ends) {
      if (each.phase == Phase::Unrecorded && count < this->maxRecordedEnds) {
        lives[each.life][each.end.number] = &each;
        ++count;
      }
    }
    Batch batch;
    batch.sentAt = this->clock.Now();
    for (const auto& [life, ends] : lives) {
      EndRecord record{ this->options.agent, life, {} };
      TimePoint listedAt = batch.sentAt;
      for (const auto& [number, kept] : ends) {
        record.ends.push_back(kept->end);
        listedAt = std::min(listedAt, kept->listedAt);
      }
      batch.records.push_back(std::move(record));
      batch.listedAt.push_back(listedAt);
    }
    return batch;
  }

  void Append()
  {
    const auto batch = std::make_shared<const Batch>(this->CollectBatch());
    this->isAppending = true;
    this->log.Append(batch->records,
                     { this->options.appendTimeout, this->isUnconfirmed },
                     [weak = this->weak_from_this(),
                      batch](const base::Result<void>& aResult) {
                       if (const auto self = weak.lock()) {
                         self->executor.Post([weak, batch, result = aResult] {
                           const auto recorder = weak.lock();
                           if (recorder != nullptr && !recorder->isStopped) {
                             recorder->OnAppended(*batch, result);
                           }
                         });
                       }
                     });
  }

  void OnAppended(const Batch& aBatch, const base::Result<void>& aResult)
  {
    this->isAppending = false;
    const Duration took = this->clock.Now() - aBatch.sentAt;
    if (aResult.has_error()) {
      this->OnFailure(aBatch, took, aResult.error());
    } else {
      this->isUnconfirmed = false;
      for (std::size_t i = 0; i < aBatch.records.size(); ++i) {
        this->OnRecorded(aBatch.records[i], aBatch.listedAt[i], took);
      }
      if (took < this->options.lateAnswer) {
        this->backoff.reset();
      } else {
        this->DelayNextAppend();
      }
    }
    this->AppendIfDue();
  }

  /** Returns for how long. */
  Duration DelayNextAppend()
  {
    if (!this->backoff) {
      this->backoff.emplace(this->options.backoff);
    }
    const Duration wait = this->backoff->Next();
    this->appendNotBefore = this->clock.Now() + wait;
    return wait;
  }

  /** Divides the next append, or gives up an end that is too large alone. */
  void OnTooLarge(const Batch& aBatch, std::size_t aCount)
  {
    if (aCount > 1) {
      this->maxRecordedEnds = aCount / 2;
      return;
    }
    const EndRecord& record = aBatch.records.front();
    for (KeptEnd& each : this->ends) {
      if (each.life == record.life &&
          each.end.number == record.ends.front().number) {
        each.phase = Phase::Exempt;
      }
    }
  }

  void OnFailure(const Batch& aBatch, Duration aTook, const base::Error& aError)
  {
    std::size_t count = 0;
    for (const EndRecord& record : aBatch.records) {
      count += record.ends.size();
    }
    this->isUnconfirmed = aError.code == ErrorCode::AppendUnconfirmed;
    if (aError.code == ErrorCode::TooLarge) {
      this->OnTooLarge(aBatch, count);
    }
    const Duration wait = this->DelayNextAppend();
    // The backoff bounds the number of these lines.
    this->logger.Warning("recording ends failed",
                         { { "error", base::Describe(aError) },
                           { "count", count },
                           { "tookMs", ToMs(aTook) },
                           { "repeatAfterMs", ToMs(wait) } });
  }

  void OnRecorded(const EndRecord& aRecord, TimePoint aListedAt, Duration aTook)
  {
    for (KeptEnd& each : this->ends) {
      if (each.phase != Phase::Unrecorded || each.life != aRecord.life) {
        continue;
      }
      const auto found = std::lower_bound(
        aRecord.ends.begin(),
        aRecord.ends.end(),
        each.end.number,
        [](const dispatch::EndedTask& aEnd, std::uint64_t aNumber) {
          return aEnd.number < aNumber;
        });
      if (found != aRecord.ends.end() && found->number == each.end.number) {
        each.phase = Phase::Recorded;
      }
    }
    this->recordedEnds.Increment(static_cast<double>(aRecord.ends.size()));
    this->logger.Info(
      "ends recorded",
      { { "worker", aRecord.life.id },
        { "born", aRecord.life.born },
        { "count", aRecord.ends.size() },
        { "number", aRecord.ends.back().number },
        { "sinceListedMs", ToMs(this->clock.Now() - aListedAt) },
        { "tookMs", ToMs(aTook) } });
  }

  const EndRecorderOptions options;
  const base::Clock& clock;
  base::Executor& executor;
  EndLog& log;
  telemetry::Logger& logger;
  const telemetry::Histogram acknowledgementTime;
  const telemetry::Counter recordedEnds;

  /** Not acknowledged, in the order in which they were listed. */
  std::deque<KeptEnd> ends;
  /** Lower once the log has refused a record as too large. */
  std::size_t maxRecordedEnds = dispatch::kMaxRecordedEnds;
  /** Empty if the newest append was answered in time. */
  std::optional<base::Backoff> backoff;
  TimePoint appendNotBefore{};
  bool isScheduled = false;
  bool isAppending = false;
  /** The previous append had no answer. */
  bool isUnconfirmed = false;
  bool isStopped = false;
};

EndRecorder::EndRecorder(const EndRecorderOptions& aOptions,
                         const base::Clock& aClock,
                         base::Executor& aExecutor,
                         EndLog& aLog,
                         telemetry::Logger& aLogger,
                         telemetry::Metrics& aMetrics)
  : state(std::make_shared<State>(aOptions,
                                  aClock,
                                  aExecutor,
                                  aLog,
                                  aLogger,
                                  aMetrics))
{
}

EndRecorder::~EndRecorder() = default;

void
EndRecorder::Stop()
{
  this->state->isStopped = true;
}

void
EndRecorder::OnListed(const WorkerIncarnation& aLife,
                      const dispatch::EndedTask& aEnd)
{
  State& self = *this->state;
  if (self.IsKept(aLife, aEnd.number)) {
    return;
  }
  self.LimitEnds();
  State::KeptEnd kept;
  kept.life = aLife;
  kept.end = { aEnd.number, aEnd.run, aEnd.kind, {} };
  kept.listedAt = self.clock.Now();
  kept.phase =
    IsRecordable(aEnd.kind) ? State::Phase::Unrecorded : State::Phase::Exempt;
  self.ends.push_back(std::move(kept));
  self.Schedule();
}

AcknowledgedEnds
EndRecorder::OnAcknowledged(const WorkerIncarnation& aLife,
                            std::uint64_t aNumber)
{
  State& self = *this->state;
  AcknowledgedEnds acknowledged;
  const TimePoint now = self.clock.Now();
  std::erase_if(self.ends, [&](const State::KeptEnd& aEach) {
    if (aEach.life != aLife || aEach.end.number > aNumber) {
      return false;
    }
    const Duration sinceListed = now - aEach.listedAt;
    self.acknowledgementTime.Observe(sinceListed);
    ++acknowledged.count;
    acknowledged.recorded += aEach.phase == State::Phase::Recorded ? 1 : 0;
    acknowledged.sinceListed = std::max(acknowledged.sinceListed, sinceListed);
    return true;
  });
  return acknowledged;
}

std::size_t
EndRecorder::Unrecorded() const
{
  return static_cast<std::size_t>(std::count_if(
    this->state->ends.begin(), this->state->ends.end(), [](const auto& aEach) {
      return aEach.phase == State::Phase::Unrecorded;
    }));
}

} // namespace amaranthwind::agent
