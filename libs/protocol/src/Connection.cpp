#include "Connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <cstdint>
#include <span>
#include <utility>

namespace amaranthwind::protocol {

namespace asio = boost::asio;
using base::Error;
using base::ErrorCode;
using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

constexpr std::memory_order kRelaxed = std::memory_order_relaxed;
// Maximum number of frames in one gather write.
constexpr std::size_t kMaxFramesPerWrite = 64;
// Initial size. Holds most frames, so that one read returns one or more
// whole frames; kept small because an entry has hundreds of connections.
constexpr std::size_t kReceiveBufferBytes = 2048;
// Larger buffers are freed after the frame that needed them.
constexpr std::size_t kMaxIdleBufferBytes = std::size_t{ 4 } * 1024;

// A queued frame takes this much beside its bytes.
constexpr std::size_t kQueuedFrameBytes = 128;

std::size_t
QueueSizeOf(std::span<const std::byte> aFrame)
{
  return aFrame.size() + kQueuedFrameBytes;
}

std::string
ToText(const Connection::Endpoint& aEndpoint)
{
  return aEndpoint.address().to_string() + ":" +
         std::to_string(aEndpoint.port());
}

} // namespace

Connection::Connection(ConnectionId aId,
                       asio::io_context& aContext,
                       const NodeOptions& aOptions,
                       std::shared_ptr<SharedCounters> aCounters,
                       std::weak_ptr<ConnectionOwner> aOwner)
  : id(aId)
  , context(aContext)
  , socket(aContext)
  , options(aOptions)
  , pingInterval(aOptions.pingInterval)
  , silenceTimeout(aOptions.silenceTimeout)
  , counters(std::move(aCounters))
  , owner(std::move(aOwner))
  , callTimer(aContext)
  , livenessTimer(aContext)
  , connectTimer(aContext)
{
}

void
Connection::StartInbound(Socket aSocket)
{
  this->socket = std::move(aSocket);
  this->isInbound.store(true);
  this->activity.store(this->counters->lastActivity.fetch_add(1));
  asio::post(this->context,
             [self = this->shared_from_this()] { self->Open(true); });
}

void
Connection::StartOutbound(const Endpoint& aEndpoint)
{
  asio::post(this->context, [self = this->shared_from_this(), aEndpoint] {
    self->connectTimer.expires_after(self->options.connectTimeout);
    self->connectTimer.async_wait([self](const error_code& aError) {
      if (!aError && self->state.Phase() == ConnectionPhase::Connecting) {
        self->CloseNow({ ErrorCode::ConnectFailed, "connect timeout" });
      }
    });
    self->socket.async_connect(aEndpoint, [self](const error_code& aError) {
      if (aError) {
        self->CloseNow({ ErrorCode::ConnectFailed, aError.message() });
        return;
      }
      self->connectTimer.cancel();
      self->Open(false);
    });
  });
}

void
Connection::Send(std::vector<std::byte> aFrame)
{
  if (this->isClosing.load()) {
    return;
  }
  this->AddQueuedBytes(QueueSizeOf(aFrame));
  asio::post(
    this->context,
    [self = this->shared_from_this(), frame = std::move(aFrame)]() mutable {
      self->Enqueue(std::move(frame));
    });
}

void
Connection::Call(Envelope aEnvelope,
                 base::Duration aTimeout,
                 CallHandler aHandler)
{
  asio::post(
    this->context,
    [self = this->shared_from_this(),
     envelope = std::move(aEnvelope),
     aTimeout,
     handler = std::move(aHandler)]() mutable {
      if (self->state.Phase() == ConnectionPhase::Closed) {
        handler({ nullptr, { { ErrorCode::ConnectionClosed, {} }, false } });
        return;
      }
      const std::uint64_t correlation = self->nextCorrelation++;
      const auto deadline = steady_clock::now() + aTimeout;
      self->calls.emplace(correlation,
                          PendingCall{ std::move(handler), deadline });
      self->deadlines.emplace(deadline, correlation);
      self->ArmCallTimer();
      envelope.correlation = CorrelationId(correlation);
      self->EnqueueNow(EncodeFrame(envelope));
    });
}

void
Connection::SetLiveness(std::chrono::milliseconds aPingInterval,
                        std::chrono::milliseconds aSilenceTimeout)
{
  asio::post(this->context,
             [self = this->shared_from_this(), aPingInterval, aSilenceTimeout] {
               self->pingInterval = aPingInterval;
               self->silenceTimeout = aSilenceTimeout;
               if (self->state.Phase() == ConnectionPhase::Open) {
                 self->ArmLivenessTimer();
               }
             });
}

void
Connection::Close(const Error& aReason)
{
  asio::post(this->context, [self = this->shared_from_this(), aReason] {
    self->CloseNow(aReason);
  });
}

void
Connection::CloseForLimit(std::string_view aLimit)
{
  this->isClosing.store(true);
  // Another thread frees it, but no further connection has to be closed.
  this->SetBufferedBytes(0);
  this->RemoveQueuedBytes(SIZE_MAX);
  this->counters->crowdedConnections.fetch_add(1, kRelaxed);
  this->Close({ ErrorCode::TooLarge, std::string(aLimit) });
}

std::optional<net::ConnectionUse>
Connection::Use() const
{
  if (!this->isInbound.load() || this->isClosing.load()) {
    return std::nullopt;
  }
  return net::ConnectionUse{ this->activity.load(),
                             this->bufferedBytes.load(),
                             false };
}

std::size_t
Connection::QueuedBytes() const noexcept
{
  return this->isClosing.load() ? 0 : this->queuedBytes.load();
}

void
Connection::SetBufferedBytes(std::size_t aBytes)
{
  if (aBytes > 0 && this->isClosing.load()) {
    return;
  }
  const std::size_t former = this->bufferedBytes.exchange(aBytes);
  const auto change =
    static_cast<std::ptrdiff_t>(aBytes) - static_cast<std::ptrdiff_t>(former);
  if (change == 0 || !this->isInbound.load()) {
    return;
  }
  if (auto receiver = this->owner.lock()) {
    receiver->OnBufferedBytes(change);
  }
}

void
Connection::AddQueuedBytes(std::size_t aBytes)
{
  if (this->isClosing.load()) {
    return;
  }
  this->queuedBytes.fetch_add(aBytes);
  const std::size_t total =
    this->counters->queuedBytes.fetch_add(aBytes) + aBytes;
  if (total > this->options.maxTotalQueuedBytes) {
    if (auto receiver = this->owner.lock()) {
      receiver->OnQueuesFull();
    }
  }
}

void
Connection::RemoveQueuedBytes(std::size_t aBytes)
{
  std::size_t former = this->queuedBytes.load();
  std::size_t removed = 0;
  do {
    removed = std::min(former, aBytes);
  } while (!this->queuedBytes.compare_exchange_weak(former, former - removed));
  this->counters->queuedBytes.fetch_sub(removed);
}

void
Connection::Open(bool aIsInbound)
{
  error_code ignored;
  const auto endpoint = this->socket.remote_endpoint(ignored);
  if (ignored) {
    this->CloseNow({ ErrorCode::ConnectFailed, ignored.message() });
    return;
  }
  if (!this->state.OnEstablished()) {
    return;
  }
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->lastReceived = steady_clock::now();
  this->lastSent = this->lastReceived;
  if (auto receiver = this->owner.lock()) {
    receiver->OnConnectionOpened(this->id, aIsInbound, ToText(endpoint));
  }
  this->ArmLivenessTimer();
  this->receiveBuffer.resize(kReceiveBufferBytes);
  this->Read();
  this->WriteQueued();
}

void
Connection::Enqueue(std::vector<std::byte> aFrame)
{
  if (this->state.Phase() == ConnectionPhase::Closed) {
    this->RemoveQueuedBytes(QueueSizeOf(aFrame));
    return;
  }
  if (this->queuedBytes.load() > this->options.maxQueuedBytes) {
    this->CloseNow({ ErrorCode::TooLarge, "send queue" });
    return;
  }
  this->sendQueue.push_back(std::move(aFrame));
  this->WriteQueued();
}

void
Connection::EnqueueNow(std::vector<std::byte> aFrame)
{
  this->AddQueuedBytes(QueueSizeOf(aFrame));
  this->Enqueue(std::move(aFrame));
}

void
Connection::WriteQueued()
{
  if (this->state.Phase() != ConnectionPhase::Open ||
      !this->framesInWrite.empty() || this->sendQueue.empty()) {
    return;
  }
  const std::size_t count =
    std::min(this->sendQueue.size(), kMaxFramesPerWrite);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(count);
  this->framesInWrite.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    this->framesInWrite.push_back(std::move(this->sendQueue.front()));
    this->sendQueue.pop_front();
    buffers.emplace_back(this->framesInWrite.back().data(),
                         this->framesInWrite.back().size());
  }
  asio::async_write(
    this->socket,
    buffers,
    [self = this->shared_from_this()](const error_code& aError, std::size_t) {
      self->OnWritten(aError);
    });
}

void
Connection::OnWritten(const error_code& aError)
{
  if (aError) {
    this->CloseNow({ ErrorCode::ConnectionClosed, aError.message() });
    return;
  }
  if (this->state.Phase() != ConnectionPhase::Open) {
    return;
  }
  for (const auto& sent : this->framesInWrite) {
    this->RemoveQueuedBytes(QueueSizeOf(sent));
    this->counters->bytesSent.fetch_add(sent.size(), kRelaxed);
  }
  this->counters->framesSent.fetch_add(this->framesInWrite.size(), kRelaxed);
  this->framesInWrite.clear();
  this->lastSent = steady_clock::now();
  this->WriteQueued();
}

void
Connection::Read()
{
  this->socket.async_read_some(
    asio::buffer(this->receiveBuffer.data() + this->receivedBytes,
                 this->receiveBuffer.size() - this->receivedBytes),
    [self = this->shared_from_this()](const error_code& aError,
                                      std::size_t aCount) {
      if (aError) {
        self->CloseNow({ ErrorCode::ConnectionClosed, aError.message() });
        return;
      }
      self->receivedBytes += aCount;
      self->ParseFrames();
    });
}

void
Connection::ParseFrames()
{
  this->lastReceived = steady_clock::now();
  std::size_t consumed = 0;
  std::size_t missingFrameBytes = kReceiveBufferBytes;
  while (this->state.Phase() == ConnectionPhase::Open) {
    const std::span<const std::byte> unparsed(
      this->receiveBuffer.data() + consumed, this->receivedBytes - consumed);
    if (unparsed.size() < kFrameHeaderBytes) {
      break;
    }
    const auto length = DecodeFrameLength(unparsed);
    if (length.has_error()) {
      this->counters->badFrames.fetch_add(1, kRelaxed);
      this->CloseNow(length.error());
      return;
    }
    const std::size_t frameBytes = kFrameHeaderBytes + length.value();
    if (unparsed.size() < frameBytes) {
      missingFrameBytes = frameBytes;
      break;
    }
    // Copied because the decoder needs an aligned buffer.
    this->frame.assign(unparsed.begin() + kFrameHeaderBytes,
                       unparsed.begin() +
                         static_cast<std::ptrdiff_t>(frameBytes));
    consumed += frameBytes;
    this->activity.store(this->counters->lastActivity.fetch_add(1));
    this->OnFrame();
  }
  if (this->state.Phase() != ConnectionPhase::Open) {
    return;
  }
  std::copy(this->receiveBuffer.begin() + static_cast<std::ptrdiff_t>(consumed),
            this->receiveBuffer.begin() +
              static_cast<std::ptrdiff_t>(this->receivedBytes),
            this->receiveBuffer.begin());
  this->receivedBytes -= consumed;
  this->GrowReceiveBuffer(missingFrameBytes);
  this->ShrinkBuffers();
  this->SetBufferedBytes(this->receivedBytes == 0 ? 0
                                                  : this->receiveBuffer.size());
  this->Read();
}

void
Connection::GrowReceiveBuffer(std::size_t aBytes)
{
  // Doubled as the bytes arrive, since a peer may announce more than it sends.
  const std::size_t size = this->receiveBuffer.size();
  if (this->receivedBytes == size && size < aBytes) {
    this->receiveBuffer.resize(std::min(aBytes, 2 * size));
  }
}

void
Connection::ShrinkBuffers()
{
  if (this->receivedBytes == 0 &&
      this->receiveBuffer.size() > kMaxIdleBufferBytes) {
    std::vector<std::byte>(kReceiveBufferBytes).swap(this->receiveBuffer);
  }
  if (this->frame.capacity() > kMaxIdleBufferBytes) {
    std::vector<std::byte>().swap(this->frame);
  }
}

void
Connection::OnFrame()
{
  this->counters->framesReceived.fetch_add(1, kRelaxed);
  this->counters->bytesReceived.fetch_add(
    this->frame.size() + kFrameHeaderBytes, kRelaxed);
  const auto envelope = DecodeFrame(this->frame);
  if (envelope.has_error()) {
    // The stream is still in sync, since the length was valid, but a peer that
    // sends undecodable frames is faulty or runs an incompatible version.
    this->counters->badFrames.fetch_add(1, kRelaxed);
    this->CloseNow(envelope.error());
    return;
  }
  if (envelope.value().isReply) {
    this->CompleteCall(envelope.value());
  } else if (!std::holds_alternative<Ping>(envelope.value().message)) {
    if (auto receiver = this->owner.lock()) {
      receiver->OnConnectionMessage(this->id, envelope.value());
    }
  }
}

void
Connection::CompleteCall(const Envelope& aEnvelope)
{
  const auto found = this->calls.find(aEnvelope.correlation.Get());
  if (found == this->calls.end()) {
    const bool wasUsed = aEnvelope.correlation.Get() < this->nextCorrelation;
    auto& counter =
      wasUsed ? this->counters->lateReplies : this->counters->unmatchedReplies;
    counter.fetch_add(1, kRelaxed);
    return;
  }
  PendingCall call = std::move(found->second);
  this->deadlines.erase({ call.deadline, found->first });
  this->calls.erase(found);
  call.handler({ &aEnvelope.message, {} });
}

void
Connection::ArmCallTimer()
{
  if (this->deadlines.empty()) {
    return;
  }
  const auto next = this->deadlines.begin()->first;
  if (this->callTimer.expiry() <= next &&
      this->callTimer.expiry() > steady_clock::now()) {
    return;
  }
  this->callTimer.expires_at(next);
  this->WaitForCallTimer();
}

void
Connection::WaitForCallTimer()
{
  this->callTimer.async_wait(
    [self = this->shared_from_this()](const error_code& aError) {
      if (!aError) {
        self->ExpireCalls();
      }
    });
}

void
Connection::ExpireCalls()
{
  const auto now = steady_clock::now();
  const bool isDue =
    !this->deadlines.empty() && this->deadlines.begin()->first <= now;
  if (isDue && !std::exchange(this->isConfirmingExpiry, true)) {
    this->callTimer.expires_after(base::Duration::zero());
    this->WaitForCallTimer();
    return;
  }
  this->isConfirmingExpiry = false;
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    const std::uint64_t correlation = this->deadlines.begin()->second;
    this->deadlines.erase(this->deadlines.begin());
    auto call = this->calls.extract(correlation);
    call.mapped().handler({ nullptr, { { ErrorCode::TimedOut, {} }, true } });
  }
  this->ArmCallTimer();
}

void
Connection::ArmLivenessTimer()
{
  this->livenessTimer.expires_after(
    this->isConfirmingSilence
      ? std::chrono::milliseconds::zero()
      : std::min(this->pingInterval, this->silenceTimeout));
  this->livenessTimer.async_wait(
    [self = this->shared_from_this()](const error_code& aError) {
      if (!aError) {
        self->CheckLiveness();
      }
    });
}

void
Connection::CheckLiveness()
{
  if (this->state.Phase() != ConnectionPhase::Open) {
    return;
  }
  const auto now = steady_clock::now();
  const bool isSilent = now - this->lastReceived >= this->silenceTimeout;
  if (isSilent && this->isConfirmingSilence) {
    this->counters->silentConnections.fetch_add(1, kRelaxed);
    this->CloseNow({ ErrorCode::TimedOut, "silent connection" });
    return;
  }
  this->isConfirmingSilence = isSilent;
  if (now - this->lastSent >= this->pingInterval) {
    this->EnqueueNow(EncodeFrame({ CorrelationId(0), false, Ping{} }));
  }
  this->ArmLivenessTimer();
}

void
Connection::CloseNow(const Error& aReason)
{
  if (!this->state.OnClosing()) {
    return;
  }
  error_code ignored;
  this->socket.close(ignored);
  this->callTimer.cancel();
  this->livenessTimer.cancel();
  this->connectTimer.cancel();
  this->FailCalls(aReason);
  this->isClosing.store(true);
  this->sendQueue.clear();
  this->RemoveQueuedBytes(SIZE_MAX);
  this->SetBufferedBytes(0);
  if (auto receiver = this->owner.lock()) {
    receiver->OnConnectionClosed(this->id, aReason);
  }
}

void
Connection::FailCalls(const Error& aReason)
{
  auto failed = std::move(this->calls);
  this->calls.clear();
  this->deadlines.clear();
  // Nothing was sent on a connection that never opened.
  const bool mayHaveBeenSent = aReason.code != ErrorCode::ConnectFailed;
  for (auto& [correlation, call] : failed) {
    call.handler({ nullptr,
                   { { ErrorCode::ConnectionClosed, aReason.subject },
                     mayHaveBeenSent } });
  }
}

} // namespace amaranthwind::protocol
