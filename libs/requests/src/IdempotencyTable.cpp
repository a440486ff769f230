#include "amaranthwind/requests/IdempotencyTable.h"

#include "amaranthwind/requests/MayRun.h"

#include <algorithm>
#include <list>
#include <unordered_map>
#include <utility>

namespace amaranthwind::requests {

namespace {

enum class Phase : std::uint8_t
{
  Claiming, // Waits for the witness's reply.
  Queued,
  Running,
  Held, // Claimed by another target for which this one is the witness.
  Answered,
  Unknown, // May have run.
  Refused, // Has not run.
};

using ExpiryQueue = std::list<const RequestKey*>;

struct Entry
{
  Phase phase = Phase::Queued;
  std::uint64_t fingerprint = 0;
  std::uint32_t attempt = 0;
  /** This is the first attempt, or the previous one was refused here. */
  bool isProvenNotRun = false;
  /** The claiming target; set in phase Held. */
  base::TargetId holder;
  base::Incarnation incarnation;
  /** Null in phase Answered if there was no room to store the answer. */
  std::shared_ptr<const StoredResponse> answer;
  std::vector<Ticket> tickets;
  base::TimePoint expiresAt;
  bool isIdempotent = false;
  /** Position in one of the two expiry queues; set while the entry is closed.
   */
  std::optional<ExpiryQueue::iterator> queuePosition;
  std::size_t bytes = 0;

  /** Whether the key may be evicted early because a rerun is harmless. */
  bool IsEvictable() const
  {
    return this->isIdempotent && this->phase != Phase::Refused;
  }
};

struct KeyHash
{
  std::size_t operator()(const RequestKey& aKey) const noexcept
  {
    const std::size_t account = std::hash<base::AccountId>{}(aKey.account);
    const std::size_t key = std::hash<base::IdempotencyKey>{}(aKey.key);
    // Mixes in the golden ratio, so that the two hashes do not cancel out.
    return key ^ (account + 0x9e3779b97f4a7c15ULL + (key << 6U) + (key >> 2U));
  }
};

/**
 * Memory used by an entry apart from the text of its key: the nodes of the hash
 * table and of an expiry queue, and the headers of four heap blocks.
 */
constexpr std::size_t kEntryOverhead =
  sizeof(std::pair<const RequestKey, Entry>) + 14 * sizeof(void*);
/** Memory used by an answer apart from its body. */
constexpr std::size_t kAnswerOverhead =
  sizeof(StoredResponse) + 6 * sizeof(void*);

Decision
MakeDecision(AdmissionResult aAdmissionResult,
             base::ErrorCode aCode,
             std::string_view aSubject)
{
  return {
    aAdmissionResult, nullptr, base::Error{ aCode, std::string(aSubject) }, {}
  };
}

Decision
KeyReusedDecision(const RequestKey& aKey)
{
  return MakeDecision(
    AdmissionResult::KeyReused, base::ErrorCode::KeyReused, aKey.key.View());
}

Decision
RefusedEarlierDecision()
{
  return MakeDecision(
    AdmissionResult::NotRun, base::ErrorCode::QueueTimeout, "refused before");
}

Decision
UnknownDecision(std::string_view aSubject)
{
  return MakeDecision(
    AdmissionResult::Unknown, base::ErrorCode::OutcomeUnknown, aSubject);
}

} // namespace

class IdempotencyTable::Impl
{
public:
  Impl(base::TimePoint aStartedAt, IdempotencyTableSettings aSettings)
    : startedAt(aStartedAt)
    , settings(aSettings)
  {
  }

  Decision Admit(base::TimePoint aNow, const Request& aRequest, Ticket aTicket)
  {
    this->EraseExpired(aNow);
    const auto found = this->entries.find(aRequest.key);
    if (found == this->entries.end()) {
      return this->AdmitNew(aNow, aRequest, aTicket);
    }
    Entry& entry = found->second;
    if (entry.fingerprint != aRequest.fingerprint) {
      return KeyReusedDecision(aRequest.key);
    }
    switch (entry.phase) {
      case Phase::Claiming:
      case Phase::Queued:
      case Phase::Running:
        entry.tickets.push_back(aTicket);
        entry.attempt = std::max(entry.attempt, aRequest.attempt);
        return { AdmissionResult::Wait, nullptr, std::nullopt, {} };
      case Phase::Answered:
        return Replay(entry);
      case Phase::Held:
        return UnknownDecision(entry.holder.View());
      case Phase::Unknown:
        return UnknownDecision("an earlier attempt");
      case Phase::Refused:
        break;
    }
    if (aRequest.attempt <= entry.attempt) {
      return RefusedEarlierDecision();
    }
    // If attempt numbers were skipped, one of them may have run on another
    // target.
    const bool isNext = aRequest.attempt == entry.attempt + 1;
    if (this->isDraining) {
      return this->RefuseUnrecorded(
        aNow, isNext ? 0 : aRequest.attempt, base::ErrorCode::Draining);
    }
    entry.isProvenNotRun = isNext;
    entry.attempt = aRequest.attempt;
    return this->OpenEntry(entry, aRequest, aTicket);
  }

  Decision OnClaimReply(base::TimePoint aNow,
                        const RequestKey& aKey,
                        const ClaimReply& aReply,
                        std::uint32_t aLostTargets)
  {
    this->EraseExpired(aNow);
    const auto found = this->entries.find(aKey);
    if (found == this->entries.end() ||
        found->second.phase != Phase::Claiming) {
      return UnknownDecision("no claim is open");
    }
    Entry& entry = found->second;
    const bool isGranted = aReply.result == ClaimResult::Granted;
    const bool mayRun =
      MayRun({ !entry.isProvenNotRun,
               this->HasCompleteHistory(aNow, this->settings.keyWindow),
               isGranted && aReply.hasCompleteHistory,
               aLostTargets });
    switch (aReply.result) {
      case ClaimResult::Granted:
      case ClaimResult::NoWitness:
        if (!mayRun) {
          break;
        }
        entry.phase = Phase::Queued;
        return { AdmissionResult::Queue, nullptr, std::nullopt, {} };
      case ClaimResult::Answered:
        if (aReply.answer == nullptr) {
          break;
        }
        this->StoreAnswer(entry, aReply.answer);
        return this->CloseEntry(found, aNow, Phase::Answered, Replay(entry));
      case ClaimResult::KeyReused:
        return this->EraseEntry(found, KeyReusedDecision(aKey));
      case ClaimResult::NotRun:
        return this->CloseEntry(
          found, aNow, Phase::Refused, RefusedEarlierDecision());
      case ClaimResult::Full:
      case ClaimResult::Unreachable:
        if (!mayRun) {
          break;
        }
        return this->CloseEntry(found,
                                aNow,
                                Phase::Refused,
                                MakeDecision(AdmissionResult::NotRun,
                                             base::ErrorCode::NoTarget,
                                             "witness"));
      case ClaimResult::Held:
        break;
    }
    return this->CloseEntry(
      found, aNow, Phase::Unknown, UnknownDecision("an earlier attempt"));
  }

  bool Start(const RequestKey& aKey)
  {
    const auto found = this->entries.find(aKey);
    if (found == this->entries.end() || found->second.phase != Phase::Queued) {
      return false;
    }
    found->second.phase = Phase::Running;
    return true;
  }

  std::vector<Ticket> Finish(base::TimePoint aNow,
                             const RequestKey& aKey,
                             Phase aPhase,
                             std::shared_ptr<const StoredResponse> aAnswer)
  {
    const auto found = this->entries.find(aKey);
    if (found == this->entries.end() || found->second.phase != Phase::Running) {
      return {};
    }
    if (aAnswer != nullptr) {
      this->StoreAnswer(found->second, std::move(aAnswer));
    }
    return this->CloseEntry(found, aNow, aPhase, {}).tickets;
  }

  Decision Refuse(base::TimePoint aNow,
                  const Request& aRequest,
                  base::Duration aAge)
  {
    this->EraseExpired(aNow);
    auto found = this->entries.find(aRequest.key);
    if (found == this->entries.end()) {
      const base::Duration age =
        aRequest.attempt > 0 ? this->settings.keyWindow : aAge;
      if (!this->HasCompleteHistory(aNow, age) ||
          !this->MakeRoom(aRequest.key)) {
        return UnknownDecision("the key is not known here");
      }
      found = this->AddEntry(aRequest);
      found->second.phase = Phase::Queued;
    }
    Entry& entry = found->second;
    if (entry.fingerprint != aRequest.fingerprint) {
      return KeyReusedDecision(aRequest.key);
    }
    switch (entry.phase) {
      case Phase::Running:
        return { AdmissionResult::Wait, nullptr, std::nullopt, {} };
      case Phase::Answered:
        return Replay(entry);
      case Phase::Held:
      case Phase::Unknown:
        return UnknownDecision("an earlier attempt");
      case Phase::Claiming:
        // The witness has not replied yet, so earlier attempts are unverified.
        if (!entry.isProvenNotRun) {
          return this->CloseEntry(
            found, aNow, Phase::Unknown, UnknownDecision("an earlier attempt"));
        }
        break;
      case Phase::Queued:
      case Phase::Refused:
        break;
    }
    entry.attempt = std::max(entry.attempt, aRequest.attempt);
    return this->CloseEntry(found,
                            aNow,
                            Phase::Refused,
                            MakeDecision(AdmissionResult::NotRun,
                                         base::ErrorCode::QueueTimeout,
                                         "refused"));
  }

  ClaimReply RecordClaim(base::TimePoint aNow, const Claim& aClaim)
  {
    this->EraseExpired(aNow);
    const bool hasCompleteHistory =
      this->HasCompleteHistory(aNow, this->settings.keyWindow);
    auto found = this->entries.find(aClaim.key);
    if (found == this->entries.end()) {
      if (!this->MakeRoom(aClaim.key)) {
        return { ClaimResult::Full, hasCompleteHistory, nullptr };
      }
      found = this->AddEntry(
        { aClaim.key, aClaim.fingerprint, false, aClaim.attempt });
    } else if (found->second.fingerprint != aClaim.fingerprint) {
      return { ClaimResult::KeyReused, hasCompleteHistory, nullptr };
    } else if (found->second.phase == Phase::Answered) {
      return { ClaimResult::Answered,
               hasCompleteHistory,
               found->second.answer };
    } else if (found->second.phase == Phase::Held) {
      const bool isSame = found->second.holder == aClaim.holder &&
                          found->second.incarnation == aClaim.incarnation;
      return { isSame ? ClaimResult::Granted : ClaimResult::Held,
               hasCompleteHistory,
               nullptr };
    } else if (found->second.phase != Phase::Refused) {
      return { ClaimResult::Held, hasCompleteHistory, nullptr };
    } else if (aClaim.attempt <= found->second.attempt) {
      return { ClaimResult::NotRun, hasCompleteHistory, nullptr };
    }
    Entry& entry = found->second;
    entry.attempt = aClaim.attempt;
    entry.holder = aClaim.holder;
    entry.incarnation = aClaim.incarnation;
    this->CloseEntry(found, aNow, Phase::Held, {});
    return { ClaimResult::Granted, hasCompleteHistory, nullptr };
  }

  void RecordEnd(base::TimePoint aNow,
                 const RequestKey& aKey,
                 Phase aPhase,
                 std::shared_ptr<const StoredResponse> aAnswer)
  {
    const auto found = this->entries.find(aKey);
    if (found == this->entries.end() || found->second.phase != Phase::Held) {
      return;
    }
    if (aAnswer != nullptr) {
      this->StoreAnswer(found->second, std::move(aAnswer));
    }
    this->CloseEntry(found, aNow, aPhase, {});
  }

  bool HasCompleteHistory(base::TimePoint aNow, base::Duration aAge) const
  {
    return aAge <= this->settings.keyWindow && aNow - this->startedAt >= aAge;
  }

  void Drain() { this->isDraining = true; }
  bool IsIdle() const { return this->openCount == 0; }
  std::size_t KeyCount() const { return this->entries.size(); }
  std::size_t ByteCount() const { return this->bytes; }

private:
  using Entries = std::unordered_map<RequestKey, Entry, KeyHash>;

  static Decision Replay(const Entry& aEntry)
  {
    if (aEntry.answer == nullptr) {
      return UnknownDecision("it ran; there was no room for its answer");
    }
    return { AdmissionResult::Replay, aEntry.answer, std::nullopt, {} };
  }

  static std::size_t SizeOf(const RequestKey& aKey)
  {
    return kEntryOverhead + aKey.account.Text().capacity() +
           aKey.key.Text().capacity();
  }

  bool MakeRoom(const RequestKey& aKey)
  {
    return this->MakeRoom(1, SizeOf(aKey));
  }

  /** Evicts the oldest evictable entries until the requested room is free. */
  bool MakeRoom(std::size_t aKeyCount, std::size_t aByteCount)
  {
    const auto hasRoom = [&] {
      return this->entries.size() + aKeyCount <= this->settings.maxKeys &&
             this->bytes + aByteCount <= this->settings.maxBytes;
    };
    while (!hasRoom() && !this->evictable.empty()) {
      this->EraseEntry(this->entries.find(*this->evictable.front()), {});
    }
    return hasRoom();
  }

  Decision AdmitNew(base::TimePoint aNow,
                    const Request& aRequest,
                    Ticket aTicket)
  {
    if (this->isDraining) {
      return this->RefuseUnrecorded(
        aNow, aRequest.attempt, base::ErrorCode::Draining);
    }
    if (!this->MakeRoom(aRequest.key)) {
      if (aRequest.isIdempotent) {
        return { AdmissionResult::RunUntracked, nullptr, std::nullopt, {} };
      }
      return this->RefuseUnrecorded(
        aNow, aRequest.attempt, base::ErrorCode::QueueFull);
    }
    return this->OpenEntry(this->AddEntry(aRequest)->second, aRequest, aTicket);
  }

  Decision OpenEntry(Entry& aEntry, const Request& aRequest, Ticket aTicket)
  {
    this->RemoveFromQueue(aEntry);
    aEntry.phase = aRequest.isIdempotent ? Phase::Queued : Phase::Claiming;
    aEntry.tickets.push_back(aTicket);
    ++this->openCount;
    return { aRequest.isIdempotent ? AdmissionResult::Queue
                                   : AdmissionResult::Claim,
             nullptr,
             std::nullopt,
             {} };
  }

  /**
   * Refuses a request without recording it. NotRun also covers earlier
   * attempts, so a retry gets it only if this target's history covers the key
   * window.
   */
  Decision RefuseUnrecorded(base::TimePoint aNow,
                            std::uint32_t aAttempt,
                            base::ErrorCode aCode) const
  {
    if (aAttempt > 0 &&
        !this->HasCompleteHistory(aNow, this->settings.keyWindow)) {
      return UnknownDecision("an earlier attempt");
    }
    return MakeDecision(AdmissionResult::NotRun, aCode, "key table");
  }

  Entries::iterator AddEntry(const Request& aRequest)
  {
    const auto found = this->entries.try_emplace(aRequest.key).first;
    Entry& entry = found->second;
    entry.fingerprint = aRequest.fingerprint;
    entry.attempt = aRequest.attempt;
    entry.isIdempotent = aRequest.isIdempotent;
    entry.isProvenNotRun = aRequest.attempt == 0;
    entry.bytes = SizeOf(found->first);
    this->bytes += entry.bytes;
    return found;
  }

  /** Stores the answer if there is room for it. */
  void StoreAnswer(Entry& aEntry, std::shared_ptr<const StoredResponse> aAnswer)
  {
    const std::size_t size = kAnswerOverhead + aAnswer->body.size();
    if (this->MakeRoom(0, size)) {
      aEntry.answer = std::move(aAnswer);
      aEntry.bytes += size;
      this->bytes += size;
    }
  }

  /** Closes an entry and moves its tickets to the returned decision. */
  Decision CloseEntry(Entries::iterator aPosition,
                      base::TimePoint aNow,
                      Phase aPhase,
                      Decision aDecision)
  {
    Entry& entry = aPosition->second;
    this->TakeTickets(entry, aDecision);
    this->RemoveFromQueue(entry);
    entry.phase = aPhase;
    entry.expiresAt = aNow + this->settings.keyWindow;
    ExpiryQueue& keys = this->QueueOf(entry);
    entry.queuePosition = keys.insert(keys.end(), &aPosition->first);
    return aDecision;
  }

  Decision EraseEntry(Entries::iterator aPosition, Decision aDecision)
  {
    Entry& entry = aPosition->second;
    this->TakeTickets(entry, aDecision);
    this->RemoveFromQueue(entry);
    this->bytes -= entry.bytes;
    this->entries.erase(aPosition);
    return aDecision;
  }

  void TakeTickets(Entry& aEntry, Decision& aDecision)
  {
    if (!aEntry.tickets.empty()) {
      --this->openCount;
    }
    aDecision.tickets = std::exchange(aEntry.tickets, {});
  }

  void RemoveFromQueue(Entry& aEntry)
  {
    if (aEntry.queuePosition) {
      this->QueueOf(aEntry).erase(*aEntry.queuePosition);
      aEntry.queuePosition.reset();
    }
  }

  ExpiryQueue& QueueOf(const Entry& aEntry)
  {
    return aEntry.IsEvictable() ? this->evictable : this->pinned;
  }

  void EraseExpired(base::TimePoint aNow)
  {
    for (ExpiryQueue* keys : { &this->evictable, &this->pinned }) {
      while (!keys->empty()) {
        const auto found = this->entries.find(*keys->front());
        if (found->second.expiresAt > aNow) {
          break;
        }
        this->EraseEntry(found, {});
      }
    }
  }

  const base::TimePoint startedAt;
  const IdempotencyTableSettings settings;
  Entries entries;
  /**
   * Keys of closed entries, oldest first: all entries have the same key window,
   * so appending keeps each queue sorted by expiry time. The pointers stay
   * valid because the nodes of the hash table do not move.
   */
  ExpiryQueue evictable;
  ExpiryQueue pinned;
  std::size_t bytes = 0;
  std::size_t openCount = 0;
  bool isDraining = false;
};

namespace {

std::shared_ptr<const StoredResponse>
MakeAnswer(std::uint32_t aStatus, std::span<const std::byte> aBody)
{
  return std::make_shared<const StoredResponse>(
    StoredResponse{ aStatus, { aBody.begin(), aBody.end() } });
}

} // namespace

IdempotencyTable::IdempotencyTable(base::TimePoint aStartedAt,
                                   IdempotencyTableSettings aSettings)
  : impl(std::make_unique<Impl>(aStartedAt, aSettings))
{
}

IdempotencyTable::~IdempotencyTable() = default;
IdempotencyTable::IdempotencyTable(IdempotencyTable&&) noexcept = default;
IdempotencyTable&
IdempotencyTable::operator=(IdempotencyTable&&) noexcept = default;

Decision
IdempotencyTable::Admit(base::TimePoint aNow,
                        const Request& aRequest,
                        Ticket aTicket)
{
  return this->impl->Admit(aNow, aRequest, aTicket);
}

Decision
IdempotencyTable::OnClaimReply(base::TimePoint aNow,
                               const RequestKey& aKey,
                               const ClaimReply& aReply,
                               std::uint32_t aLostTargets)
{
  return this->impl->OnClaimReply(aNow, aKey, aReply, aLostTargets);
}

bool
IdempotencyTable::Start(const RequestKey& aKey)
{
  return this->impl->Start(aKey);
}

std::vector<Ticket>
IdempotencyTable::Finish(base::TimePoint aNow,
                         const RequestKey& aKey,
                         std::uint32_t aStatus,
                         std::span<const std::byte> aBody)
{
  return this->impl->Finish(
    aNow, aKey, Phase::Answered, MakeAnswer(aStatus, aBody));
}

std::vector<Ticket>
IdempotencyTable::FinishUnknown(base::TimePoint aNow, const RequestKey& aKey)
{
  return this->impl->Finish(aNow, aKey, Phase::Unknown, nullptr);
}

Decision
IdempotencyTable::Refuse(base::TimePoint aNow,
                         const Request& aRequest,
                         base::Duration aAge)
{
  return this->impl->Refuse(aNow, aRequest, aAge);
}

ClaimReply
IdempotencyTable::RecordClaim(base::TimePoint aNow, const Claim& aClaim)
{
  return this->impl->RecordClaim(aNow, aClaim);
}

void
IdempotencyTable::RecordAnswer(base::TimePoint aNow,
                               const RequestKey& aKey,
                               std::uint32_t aStatus,
                               std::span<const std::byte> aBody)
{
  this->impl->RecordEnd(
    aNow, aKey, Phase::Answered, MakeAnswer(aStatus, aBody));
}

void
IdempotencyTable::RecordRefusal(base::TimePoint aNow, const RequestKey& aKey)
{
  this->impl->RecordEnd(aNow, aKey, Phase::Refused, nullptr);
}

bool
IdempotencyTable::HasCompleteHistory(base::TimePoint aNow,
                                     base::Duration aAge) const
{
  return this->impl->HasCompleteHistory(aNow, aAge);
}

void
IdempotencyTable::Drain()
{
  this->impl->Drain();
}

bool
IdempotencyTable::IsIdle() const
{
  return this->impl->IsIdle();
}

std::size_t
IdempotencyTable::KeyCount() const
{
  return this->impl->KeyCount();
}

std::size_t
IdempotencyTable::ByteCount() const
{
  return this->impl->ByteCount();
}

} // namespace amaranthwind::requests
