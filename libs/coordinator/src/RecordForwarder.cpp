#include "RecordForwarder.h"

#include <utility>

namespace amaranthwind::coordinator {

using protocol::AppendState;
using protocol::ConnectionId;
using namespace std::chrono_literals;

namespace {

/**
 * Time for the coordinator to confirm the receipt of a record. A busy one is
 * not waited for, since the entry can append the record itself.
 */
constexpr base::Duration kReceiptTimeout = 150ms;
/**
 * Time for the coordinator to append a record while the log answers requests of
 * this entry within kUsualAnswerTime.
 */
constexpr base::Duration kAppendLimit = 1200ms;
constexpr base::Duration kUsualAnswerTime = 500ms;
/** How long a coordinator that did not answer is not asked again. */
constexpr base::BackoffOptions kSuspension{ .first = 500ms, .max = 8s };

} // namespace

RecordForwarder::RecordForwarder(const base::Clock& aClock,
                                 base::Executor& aExecutor,
                                 const journal::KeyedLog& aLog,
                                 AgentSessions& aSessions,
                                 telemetry::Logger& aLogger)
  : clock(aClock)
  , executor(aExecutor)
  , log(aLog)
  , sessions(aSessions)
  , logger(aLogger)
  , backoff(kSuspension)
{
}

RecordForwarder::~RecordForwarder()
{
  *this->isAlive = false;
}

template<typename Task>
void
RecordForwarder::RunAfter(base::Duration aDelay, Task aTask)
{
  this->executor.RunAfter(aDelay,
                          [alive = this->isAlive, task = std::move(aTask)] {
                            if (*alive) {
                              task();
                            }
                          });
}

void
RecordForwarder::SetCoordinator(std::string_view aAddress)
{
  if (aAddress == this->address) {
    return;
  }
  this->Disconnect();
  this->address = aAddress;
  this->backoff.Reset();
  this->suspendedUntil = {};
}

void
RecordForwarder::Forward(journal::KeyedValue aRecord,
                         base::Duration aTimeout,
                         AppendHandler aHandler)
{
  if (this->address.empty() || this->clock.Now() < this->suspendedUntil) {
    aHandler(AppendState::NotAppended);
    return;
  }
  if (!this->connection) {
    this->connection = this->sessions.ConnectToEntry(this->address);
  }
  const std::uint64_t number = ++this->lastNumber;
  this->pending[number].handler = std::move(aHandler);
  this->sessions.SendTo(*this->connection,
                        protocol::AppendRecord{ number,
                                                std::move(aRecord.key),
                                                std::move(aRecord.value) });
  this->ScheduleTimeouts(number, aTimeout);
}

void
RecordForwarder::ScheduleTimeouts(std::uint64_t aNumber,
                                  base::Duration aTimeout)
{
  // A reply that waits to be handled is no silence.
  this->RunAfter(kReceiptTimeout, [this, aNumber] {
    this->sessions.HandleReceived();
    const auto found = this->pending.find(aNumber);
    if (found != this->pending.end() && !found->second.isQueued) {
      this->Suspend("no receipt");
    }
  });
  const base::TimePoint expectedAnswer =
    this->clock.Now() + kAppendLimit - kUsualAnswerTime;
  this->RunAfter(kAppendLimit, [this, aNumber, expectedAnswer] {
    this->sessions.HandleReceived();
    if (this->log.AnsweredAsOf() >= expectedAnswer) {
      this->FinishOne(aNumber, AppendState::Unconfirmed);
    }
  });
  this->RunAfter(aTimeout, [this, aNumber] {
    this->sessions.HandleReceived();
    this->FinishOne(aNumber, AppendState::Unconfirmed);
  });
}

void
RecordForwarder::OnReply(ConnectionId aConnection,
                         const protocol::AppendRecordReply& aReply)
{
  if (this->connection != aConnection) {
    return;
  }
  if (aReply.state != AppendState::Queued) {
    this->FinishOne(aReply.number, aReply.state);
    return;
  }
  this->backoff.Reset();
  const auto found = this->pending.find(aReply.number);
  if (found != this->pending.end()) {
    found->second.isQueued = true;
  }
}

void
RecordForwarder::OnClosed(ConnectionId aConnection)
{
  if (this->connection != aConnection) {
    return;
  }
  if (this->pending.empty()) {
    this->connection.reset();
  } else {
    this->Suspend("connection closed");
  }
}

void
RecordForwarder::FinishOne(std::uint64_t aNumber, AppendState aState)
{
  auto finished = this->pending.extract(aNumber);
  if (!finished.empty()) {
    finished.mapped().handler(aState);
  }
}

void
RecordForwarder::Disconnect()
{
  if (!this->connection) {
    return;
  }
  this->sessions.Close(*std::exchange(this->connection, std::nullopt));
  for (auto& [number, each] : std::exchange(this->pending, {})) {
    each.handler(AppendState::Unconfirmed);
  }
}

void
RecordForwarder::Suspend(std::string_view aReason)
{
  this->suspendedUntil = this->clock.Now() + this->backoff.Next();
  this->logger.Warning("records not forwarded to coordinator",
                       { { "address", this->address },
                         { "reason", aReason },
                         { "unanswered", this->pending.size() } });
  this->Disconnect();
}

} // namespace amaranthwind::coordinator
