#include "amaranthwind/requests/RequestLedger.h"
#include "amaranthwind/requests/MayRun.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

using namespace amaranthwind;
using namespace amaranthwind::requests;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint kStart{ 1h };

Request
MakeRequest(std::string_view aKey, std::uint32_t aAttempt = 0)
{
  return { { base::AccountId("account-a"), base::IdempotencyKey(aKey) },
           7,
           false,
           aAttempt };
}

Claim
MakeClaim(std::string_view aKey,
          std::uint32_t aAttempt = 0,
          std::uint64_t aIncarnation = 1)
{
  return { MakeRequest(aKey).key,
           7,
           aAttempt,
           base::TargetId("executor-1"),
           base::Incarnation(aIncarnation) };
}

constexpr std::array kBody{ std::byte{ 'o' }, std::byte{ 'k' } };
const ClaimReply kGranted{ ClaimResult::Granted, true, nullptr };

/** The ledger of one target that started at kStart, with a manual clock. */
struct LedgerFixture
{
  explicit LedgerFixture(LedgerSettings aSettings = {})
    : ledger(kStart, aSettings)
  {
  }

  Verdict Admit(const Request& aRequest)
  {
    return this->ledger.Admit(this->now, aRequest, Ticket(++this->tickets))
      .verdict;
  }

  Verdict ReplyToClaim(const Request& aRequest,
                       const ClaimReply& aReply,
                       std::uint32_t aLostTargets = 0)
  {
    return this->ledger
      .OnClaimReply(this->now, aRequest.key, aReply, aLostTargets)
      .verdict;
  }

  /** Admits, claims and starts a first attempt. */
  void Run(const Request& aRequest)
  {
    REQUIRE(this->Admit(aRequest) == Verdict::Claim);
    REQUIRE(this->ReplyToClaim(aRequest, kGranted) == Verdict::Queue);
    REQUIRE(this->ledger.Start(aRequest.key));
  }

  std::size_t Finish(const Request& aRequest)
  {
    return this->ledger.Finish(this->now, aRequest.key, 200, kBody).size();
  }

  Verdict Refuse(const Request& aRequest, base::Duration aAge = 1s)
  {
    return this->ledger.Refuse(this->now, aRequest, aAge).verdict;
  }

  RequestLedger ledger;
  base::TimePoint now = kStart;
  std::uint64_t tickets = 0;
};

} // namespace

// Guards against executing a request twice because it was sent twice: a
// non-idempotent request runs at most once.
TEST_CASE("a request runs once and every duplicate gets the same response")
{
  LedgerFixture fixture;
  const Request request = MakeRequest("a");
  fixture.Run(request);
  CHECK(fixture.Admit(MakeRequest("a", 1)) == Verdict::Wait);
  CHECK(fixture.Admit(request) == Verdict::Wait);
  CHECK_FALSE(fixture.ledger.Start(request.key));
  CHECK(fixture.Finish(request) == 3);
  CHECK(fixture.Finish(request) == 0); // Late duplicate answer.
  const Decision replay =
    fixture.ledger.Admit(fixture.now, MakeRequest("a", 2), Ticket(9));
  REQUIRE(replay.verdict == Verdict::Replay);
  CHECK(*replay.answer == Answer{ 200, { kBody.begin(), kBody.end() } });

  Request other = request;
  other.fingerprint = 8;
  CHECK(fixture.Admit(other) == Verdict::KeyReused);
  other.key.account = base::AccountId("account-b");
  CHECK(fixture.Admit(other) ==
        Verdict::Claim); // Keys are scoped to an account.
}

// Guards against a refused request that runs nevertheless: a request refused as
// "not run" did not run.
TEST_CASE("a queue timeout and the start exclude each other")
{
  LedgerFixture fixture;
  const Request request = MakeRequest("a");
  SUBCASE("timeout first")
  {
    CHECK(fixture.Admit(request) == Verdict::Claim);
    CHECK(fixture.ReplyToClaim(request, kGranted) == Verdict::Queue);
    CHECK(fixture.Refuse(request) == Verdict::NotRun);
    CHECK_FALSE(fixture.ledger.Start(request.key));
    CHECK(fixture.Finish(request) == 0);
    CHECK(fixture.Admit(request) == Verdict::NotRun);
    // A later attempt may run, as this one never started.
    CHECK(fixture.Admit(MakeRequest("a", 1)) == Verdict::Claim);
    CHECK(fixture.ReplyToClaim(request, { ClaimResult::Granted, false, {} }) ==
          Verdict::Queue);
  }
  SUBCASE("timeout while waiting for the witness")
  {
    CHECK(fixture.Admit(request) == Verdict::Claim);
    CHECK_FALSE(fixture.ledger.Start(request.key)); // The claim is still open.
    CHECK(fixture.Refuse(request) == Verdict::NotRun);
    CHECK(fixture.ReplyToClaim(request, kGranted) == Verdict::Unknown);
    CHECK_FALSE(fixture.ledger.Start(request.key));
  }
  SUBCASE("start first")
  {
    fixture.Run(request);
    CHECK(fixture.Refuse(request) == Verdict::Wait);
    CHECK(fixture.Finish(request) == 1);
    CHECK(fixture.Refuse(request) == Verdict::Replay);
  }
  SUBCASE("refused before it arrives")
  {
    fixture.now += 1min;
    CHECK(fixture.Refuse(request) == Verdict::NotRun);
    CHECK(fixture.Admit(request) == Verdict::NotRun);
  }
  SUBCASE("refused here, then possibly run on another target")
  {
    fixture.now += 1min;
    CHECK(fixture.Refuse(request) == Verdict::NotRun);
    CHECK(fixture.Admit(MakeRequest("a", 2)) == Verdict::Claim);
    CHECK(fixture.ReplyToClaim(request, { ClaimResult::Granted, false, {} }) ==
          Verdict::Unknown);
  }
}

// Guards against reporting "not run" for a request that an earlier incarnation
// of the target may have run.
TEST_CASE("a restarted target has history only since its start")
{
  LedgerFixture fixture;
  fixture.now += 10s;
  CHECK(fixture.Refuse(MakeRequest("a"), 11s) == Verdict::Unknown);
  CHECK(fixture.Refuse(MakeRequest("a"), 9s) == Verdict::NotRun);
  CHECK(fixture.Refuse(MakeRequest("b", 1), 9s) == Verdict::Unknown);
  CHECK_FALSE(fixture.ledger.HasCompleteHistory(fixture.now, 30min));
  fixture.now += 30min;
  CHECK(fixture.ledger.HasCompleteHistory(fixture.now, 30min));
  // Keys of that age have expired.
  CHECK_FALSE(fixture.ledger.HasCompleteHistory(fixture.now, 30min + 1s));
}

// Guards against running a retry although an earlier attempt may have run.
TEST_CASE("a retry runs only if a key history rules out an earlier run")
{
  struct Case
  {
    const char* name;
    RunEvidence evidence;
    bool mayRun;
  };
  const std::vector<Case> cases = {
    { "first attempt", { false, false, false, 5 }, true },
    { "no complete history", { true, false, false, 0 }, false },
    { "target history complete", { true, true, false, 0 }, true },
    { "witness history complete", { true, false, true, 1 }, true },
    { "two targets lost", { true, true, true, 2 }, false },
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    CHECK(MayRun(test.evidence) == test.mayRun);
  }
}

// Guards against misinterpreting the witness's reply.
TEST_CASE("the witness's reply decides about a key that is not recorded here")
{
  const auto answer = std::make_shared<const Answer>();
  struct Case
  {
    const char* name;
    std::uint32_t attempt;
    ClaimReply reply;
    Verdict verdict;
  };
  const std::vector<Case> cases = {
    { "first", 0, { ClaimResult::Granted, false, {} }, Verdict::Queue },
    { "first, only target",
      0,
      { ClaimResult::NoWitness, false, {} },
      Verdict::Queue },
    { "first, witness down",
      0,
      { ClaimResult::Unreachable, false, {} },
      Verdict::NotRun },
    { "first, witness full",
      0,
      { ClaimResult::Full, true, {} },
      Verdict::NotRun },
    { "retry, witness history complete",
      1,
      { ClaimResult::Granted, true, {} },
      Verdict::Queue },
    { "retry, no complete history",
      1,
      { ClaimResult::Granted, false, {} },
      Verdict::Unknown },
    { "retry, witness down",
      1,
      { ClaimResult::Unreachable, false, {} },
      Verdict::Unknown },
    { "retry, only target",
      1,
      { ClaimResult::NoWitness, false, {} },
      Verdict::Unknown },
    { "claimed before", 1, { ClaimResult::Held, true, {} }, Verdict::Unknown },
    { "answered", 1, { ClaimResult::Answered, true, answer }, Verdict::Replay },
    { "answer not stored",
      1,
      { ClaimResult::Answered, true, {} },
      Verdict::Unknown },
    { "refused", 1, { ClaimResult::NotRun, false, {} }, Verdict::NotRun },
    { "other request",
      1,
      { ClaimResult::KeyReused, true, {} },
      Verdict::KeyReused },
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    LedgerFixture fixture;
    const Request request = MakeRequest("a", test.attempt);
    REQUIRE(fixture.Admit(request) == Verdict::Claim);
    CHECK(fixture.ReplyToClaim(request, test.reply) == test.verdict);
    const bool runs = test.verdict == Verdict::Queue;
    CHECK(fixture.ledger.Start(request.key) == runs);
    CHECK(fixture.ledger.IsIdle() == !runs);
    // A late duplicate reply has no effect.
    CHECK(fixture.ReplyToClaim(request, kGranted) == Verdict::Unknown);
  }
}

// Guards against a witness that allows the same key to run twice.
TEST_CASE("a witness grants a key to one holder")
{
  LedgerFixture fixture;
  const auto claim = [&](const Claim& aClaim) {
    return fixture.ledger.RecordClaim(fixture.now, aClaim).result;
  };
  const RequestKey key = MakeRequest("a").key;
  CHECK(claim(MakeClaim("a")) == ClaimResult::Granted);
  CHECK(claim(MakeClaim("a")) ==
        ClaimResult::Granted); // The first reply was lost.
  CHECK(claim(MakeClaim("a", 1, 2)) == ClaimResult::Held); // Restarted holder.
  CHECK(fixture.Admit(MakeRequest("a", 1)) == Verdict::Unknown);
  SUBCASE("answered")
  {
    fixture.ledger.RecordAnswer(fixture.now, key, 200, kBody);
    CHECK(claim(MakeClaim("a", 1, 2)) == ClaimResult::Answered);
    CHECK(fixture.Admit(MakeRequest("a", 1)) == Verdict::Replay);
  }
  SUBCASE("refused by the holder")
  {
    fixture.ledger.RecordRefusal(fixture.now, key);
    CHECK(claim(MakeClaim("a")) == ClaimResult::NotRun);
    CHECK(fixture.Admit(MakeRequest("a")) == Verdict::NotRun);
    CHECK(claim(MakeClaim("a", 1, 2)) == ClaimResult::Granted);
  }
  SUBCASE("running here")
  {
    fixture.Run(MakeRequest("b"));
    CHECK(claim(MakeClaim("b", 1)) == ClaimResult::Held);
  }
}

// Guards against evicting keys within the key window to make room.
TEST_CASE("a full table refuses new keys and evicts none")
{
  LedgerSettings settings;
  SUBCASE("key limit")
  {
    settings.maxKeys = 10;
  }
  SUBCASE("byte limit")
  {
    settings.maxBytes = 4096;
  }
  LedgerFixture fixture(settings);
  int kept = 0;
  while (kept < 100) {
    const Request request = MakeRequest(std::to_string(kept));
    if (fixture.Admit(request) != Verdict::Claim) {
      break;
    }
    fixture.ReplyToClaim(request, kGranted);
    fixture.ledger.Start(request.key);
    fixture.Finish(request);
    ++kept;
  }
  REQUIRE(kept >= 5);
  REQUIRE(kept <= 20);
  CHECK(fixture.ledger.ByteCount() <= settings.maxBytes);
  CHECK(fixture.Admit(MakeRequest("new")) == Verdict::NotRun);
  CHECK(fixture.Admit(MakeRequest("new", 1)) == Verdict::Unknown);
  CHECK(fixture.ledger.RecordClaim(fixture.now, MakeClaim("new")).result ==
        ClaimResult::Full);
  Request idempotent = MakeRequest("new");
  idempotent.isIdempotent = true;
  CHECK(fixture.Admit(idempotent) == Verdict::RunUntracked);
  CHECK(fixture.Admit(MakeRequest("0", 1)) != Verdict::Claim);
  fixture.now += 30min;
  CHECK(fixture.Admit(MakeRequest("new")) == Verdict::Claim);
  CHECK(fixture.ledger.KeyCount() == 1);
}

// Guards against a refused idempotent request that runs because its key was
// evicted: a request refused as "not run" did not run.
TEST_CASE("a refused request is kept even if it is idempotent")
{
  LedgerSettings settings;
  settings.maxKeys = 1;
  LedgerFixture fixture(settings);
  Request request = MakeRequest("a");
  request.isIdempotent = true;
  REQUIRE(fixture.Admit(request) == Verdict::Queue);
  CHECK(fixture.Refuse(request) == Verdict::NotRun);
  CHECK(fixture.Admit(MakeRequest("b")) == Verdict::NotRun);
  CHECK(fixture.Admit(request) == Verdict::NotRun);
}

// Guards against refusing non-idempotent requests because short idempotent ones
// fill the table.
TEST_CASE("idempotent requests are evicted for non-idempotent ones")
{
  LedgerSettings settings;
  settings.maxKeys = 10;
  LedgerFixture fixture(settings);
  for (int index = 0; index < 25; ++index) {
    Request request = MakeRequest(std::to_string(index));
    request.isIdempotent = true;
    REQUIRE(fixture.Admit(request) == Verdict::Queue);
    REQUIRE(fixture.ledger.Start(request.key));
    CHECK(fixture.Finish(request) == 1);
    CHECK(fixture.Admit(request) == Verdict::Replay);
  }
  for (int index = 0; index < 10; ++index) {
    CHECK(fixture.Admit(MakeRequest("b" + std::to_string(index))) ==
          Verdict::Claim);
  }
  CHECK(fixture.Admit(MakeRequest("c")) == Verdict::NotRun);
  CHECK(fixture.ledger.KeyCount() == 10);
}

// Guards against rerunning a request because its answer could not be stored.
TEST_CASE("a response that does not fit is dropped, but its key is kept")
{
  LedgerSettings settings;
  settings.maxBytes = 1024;
  LedgerFixture fixture(settings);
  fixture.Run(MakeRequest("a"));
  const std::vector<std::byte> large(1024);
  CHECK(fixture.ledger.Finish(fixture.now, MakeRequest("a").key, 200, large)
          .size() == 1);
  CHECK(fixture.Admit(MakeRequest("a", 1)) == Verdict::Unknown);
}

// Guards against reporting "not run" after the connection to the executor
// broke.
TEST_CASE("an unknown outcome stays unknown")
{
  LedgerFixture fixture;
  fixture.Run(MakeRequest("a"));
  CHECK(
    fixture.ledger.FinishUnknown(fixture.now, MakeRequest("a").key).size() ==
    1);
  CHECK(fixture.Admit(MakeRequest("a", 1)) == Verdict::Unknown);
  CHECK(fixture.Refuse(MakeRequest("a")) == Verdict::Unknown);
}

// Guards against a leaving target that interrupts running requests or admits
// new ones: a planned stop interrupts no request, and a departing target gets
// no new work.
TEST_CASE("a draining target admits nothing and finishes admitted requests")
{
  LedgerFixture fixture;
  fixture.Run(MakeRequest("a"));
  CHECK(fixture.Refuse(MakeRequest("refused"), 0s) == Verdict::NotRun);
  fixture.ledger.Drain();
  CHECK(fixture.Admit(MakeRequest("b")) == Verdict::NotRun);
  CHECK(fixture.Admit(MakeRequest("c", 1)) == Verdict::Unknown);
  CHECK(fixture.Admit(MakeRequest("refused", 1)) == Verdict::NotRun);
  CHECK(fixture.Admit(MakeRequest("a", 1)) == Verdict::Wait);
  CHECK_FALSE(fixture.ledger.IsIdle());
  CHECK(fixture.Finish(MakeRequest("a")) == 2);
  CHECK(fixture.ledger.IsIdle());
  CHECK(fixture.Admit(MakeRequest("a", 2)) == Verdict::Replay);
}

// Guards against erasing an entry at an earlier expiry time although it was
// reopened since.
TEST_CASE("a key that was refused and then ran expires after its last event")
{
  LedgerFixture fixture;
  const Request request = MakeRequest("a");
  fixture.now += 1min;
  fixture.Refuse(request);
  fixture.now += 20min;
  REQUIRE(fixture.Admit(MakeRequest("a", 1)) == Verdict::Claim);
  REQUIRE(fixture.ReplyToClaim(request, kGranted) == Verdict::Queue);
  fixture.now += 20min;
  CHECK(fixture.Admit(MakeRequest("b")) == Verdict::Claim);
  CHECK(fixture.ledger.Start(request.key));
  CHECK(fixture.Finish(request) == 1);
  fixture.now += 29min;
  CHECK(fixture.Admit(request) == Verdict::Replay);
  fixture.now += 1min;
  CHECK(fixture.Admit(request) == Verdict::Claim);
}
