#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/Ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace amaranthwind::requests {

/** Names one request; callers of different accounts may choose equal keys. */
struct RequestKey
{
  base::AccountId account;
  base::IdempotencyKey key;

  auto operator<=>(const RequestKey&) const = default;
};

/** Chosen by the runtime for each copy of a request that awaits an answer. */
using Ticket = base::StrongNumber<struct TicketTag>;

struct Request
{
  RequestKey key;
  /** Hash of the kind and the body. */
  std::uint64_t fingerprint = 0;
  bool isIdempotent = false;
  /** 0: never sent before. */
  std::uint32_t attempt = 0;
};

struct Answer
{
  std::uint32_t status = 0;
  std::vector<std::byte> body;

  bool operator==(const Answer&) const = default;
};

enum class Verdict : std::uint8_t
{
  Claim,        // Record the claim on the witness, then call OnClaimReply().
  Queue,        // Call Start() when a slot is free.
  RunUntracked, // Idempotent, and the ledger is full: run it, keep no answer.
  Wait,         // Another copy is on its way; Finish() returns this ticket.
  Replay,       // It has run; give the same answer.
  NotRun,       // It has not run and this attempt will not.
  Unknown,      // It may have run.
  KeyReused,    // The key belongs to another request.
};

struct Decision
{
  Verdict verdict = Verdict::Unknown;
  /** Of Replay. */
  std::shared_ptr<const Answer> answer;
  /** Why, for NotRun, Unknown and KeyReused. */
  std::optional<base::Error> reason;
  /** Copies that waited, the first one included, and get this decision now. */
  std::vector<Ticket> tickets;
};

/** Sent to the witness before a non-idempotent request runs. */
struct Claim
{
  RequestKey key;
  std::uint64_t fingerprint = 0;
  std::uint32_t attempt = 0;
  base::TargetId holder;
  base::Incarnation incarnation;
};

enum class ClaimResult : std::uint8_t
{
  Granted,
  Held,     // By another target or an earlier incarnation.
  Answered, // It has run; the answer may have been kept.
  NotRun,   // This attempt was refused before.
  KeyReused,
  Full,
  NoWitness, // The only target: there is nobody to ask.
  Unreachable,
};

struct ClaimReply
{
  ClaimResult result = ClaimResult::Unreachable;
  /** The witness has kept all keys of the whole key window. */
  bool doesVouch = false;
  std::shared_ptr<const Answer> answer;
};

struct LedgerSettings
{
  /** Three times the longest retry horizon. */
  base::Duration keyWindow = std::chrono::minutes(30);
  std::size_t maxKeys = 65536;
  /** Keys and answers; a daemon may use 64 MB in all. */
  std::size_t maxBytes = 24U << 20U;
};

/**
 * The keys that one target has admitted, refused or holds as witness for
 * another target, with the answers. A key is kept until the key window after
 * its last event. When there is no room, answered idempotent requests are
 * forgotten; they may run again. Then new non-idempotent requests are refused:
 * no other key is forgotten early. Not thread-safe. Times never go back between
 * calls.
 */
class RequestLedger
{
public:
  RequestLedger(base::TimePoint aStartedAt, LedgerSettings aSettings = {});
  ~RequestLedger();
  RequestLedger(RequestLedger&&) noexcept;
  RequestLedger& operator=(RequestLedger&&) noexcept;

  /** Each call needs a new ticket. */
  Decision Admit(base::TimePoint aNow, const Request& aRequest, Ticket aTicket);

  /** The witness's reply to a claim; aLostTargets as in RunEvidence. */
  Decision OnClaimReply(base::TimePoint aNow,
                        const RequestKey& aKey,
                        const ClaimReply& aReply,
                        std::uint32_t aLostTargets);

  /** Marks the request as running; false if it must not run any more. */
  bool Start(const RequestKey& aKey);

  /** Tickets that get the answer; none if it was answered before. */
  std::vector<Ticket> Finish(base::TimePoint aNow,
                             const RequestKey& aKey,
                             std::uint32_t aStatus,
                             std::span<const std::byte> aBody);

  /** The executor broke off: nobody knows the outcome. */
  std::vector<Ticket> FinishUnknown(base::TimePoint aNow,
                                    const RequestKey& aKey);

  /**
   * Refuses a request that has not started, for example on a queue time-out.
   * NotRun holds for this attempt from then on. Wait means that it runs
   * already. aAge is the time since attempt 0 was sent; unused for later
   * attempts, for which an unknown key needs a target that vouches for the
   * whole window.
   */
  Decision Refuse(base::TimePoint aNow,
                  const Request& aRequest,
                  base::Duration aAge);

  // As witness for another target.

  ClaimReply RecordClaim(base::TimePoint aNow, const Claim& aClaim);
  /** The claimed request has run. */
  void RecordAnswer(base::TimePoint aNow,
                    const RequestKey& aKey,
                    std::uint32_t aStatus,
                    std::span<const std::byte> aBody);
  /** The claimed request was refused before it started. */
  void RecordRefusal(base::TimePoint aNow, const RequestKey& aKey);

  /** True if every key of the last aAge would still be known here. */
  bool CanVouchFor(base::TimePoint aNow, base::Duration aAge) const;

  /** No new requests from now on; admitted ones go on. */
  void Drain();
  /** Nothing is queued or running. */
  bool IsIdle() const;

  std::size_t KeyCount() const;
  std::size_t ByteCount() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::requests
