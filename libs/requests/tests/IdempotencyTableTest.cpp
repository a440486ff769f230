#include "amaranthwind/requests/IdempotencyTable.h"
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

/** The idempotency table of one target that started at kStart, with a manual
 * clock. */
struct IdempotencyTableFixture
{
  explicit IdempotencyTableFixture(IdempotencyTableSettings aSettings = {})
    : table(kStart, aSettings)
  {
  }

  AdmissionResult Admit(const Request& aRequest)
  {
    return this->table.Admit(this->now, aRequest, Ticket(++this->tickets))
      .admissionResult;
  }

  AdmissionResult ReplyToClaim(const Request& aRequest,
                               const ClaimReply& aReply,
                               std::uint32_t aLostTargets = 0)
  {
    return this->table
      .OnClaimReply(this->now, aRequest.key, aReply, aLostTargets)
      .admissionResult;
  }

  /** Admits, claims and starts a first attempt. */
  void Run(const Request& aRequest)
  {
    REQUIRE(this->Admit(aRequest) == AdmissionResult::Claim);
    REQUIRE(this->ReplyToClaim(aRequest, kGranted) == AdmissionResult::Queue);
    REQUIRE(this->table.Start(aRequest.key));
  }

  std::size_t Finish(const Request& aRequest)
  {
    return this->table.Finish(this->now, aRequest.key, 200, kBody).size();
  }

  AdmissionResult Refuse(const Request& aRequest, base::Duration aAge = 1s)
  {
    return this->table.Refuse(this->now, aRequest, aAge).admissionResult;
  }

  IdempotencyTable table;
  base::TimePoint now = kStart;
  std::uint64_t tickets = 0;
};

} // namespace

// Guards against executing a request twice because it was sent twice: a
// non-idempotent request runs at most once.
TEST_CASE("a request runs once and every duplicate gets the same response")
{
  IdempotencyTableFixture fixture;
  const Request request = MakeRequest("a");
  fixture.Run(request);
  CHECK(fixture.Admit(MakeRequest("a", 1)) == AdmissionResult::Wait);
  CHECK(fixture.Admit(request) == AdmissionResult::Wait);
  CHECK_FALSE(fixture.table.Start(request.key));
  CHECK(fixture.Finish(request) == 3);
  CHECK(fixture.Finish(request) == 0); // Late duplicate answer.
  const Decision replay =
    fixture.table.Admit(fixture.now, MakeRequest("a", 2), Ticket(9));
  REQUIRE(replay.admissionResult == AdmissionResult::Replay);
  CHECK(*replay.answer ==
        StoredResponse{ 200, { kBody.begin(), kBody.end() } });

  Request other = request;
  other.fingerprint = 8;
  CHECK(fixture.Admit(other) == AdmissionResult::KeyReused);
  other.key.account = base::AccountId("account-b");
  CHECK(fixture.Admit(other) ==
        AdmissionResult::Claim); // Keys are scoped to an account.
}

// Guards against a refused request that runs nevertheless: a request refused as
// "not run" did not run.
TEST_CASE("a queue timeout and the start exclude each other")
{
  IdempotencyTableFixture fixture;
  const Request request = MakeRequest("a");
  SUBCASE("timeout first")
  {
    CHECK(fixture.Admit(request) == AdmissionResult::Claim);
    CHECK(fixture.ReplyToClaim(request, kGranted) == AdmissionResult::Queue);
    CHECK(fixture.Refuse(request) == AdmissionResult::NotRun);
    CHECK_FALSE(fixture.table.Start(request.key));
    CHECK(fixture.Finish(request) == 0);
    CHECK(fixture.Admit(request) == AdmissionResult::NotRun);
    // A later attempt may run, as this one never started.
    CHECK(fixture.Admit(MakeRequest("a", 1)) == AdmissionResult::Claim);
    CHECK(fixture.ReplyToClaim(request, { ClaimResult::Granted, false, {} }) ==
          AdmissionResult::Queue);
  }
  SUBCASE("timeout while waiting for the witness")
  {
    CHECK(fixture.Admit(request) == AdmissionResult::Claim);
    CHECK_FALSE(fixture.table.Start(request.key)); // The claim is still open.
    CHECK(fixture.Refuse(request) == AdmissionResult::NotRun);
    CHECK(fixture.ReplyToClaim(request, kGranted) == AdmissionResult::Unknown);
    CHECK_FALSE(fixture.table.Start(request.key));
  }
  SUBCASE("start first")
  {
    fixture.Run(request);
    CHECK(fixture.Refuse(request) == AdmissionResult::Wait);
    CHECK(fixture.Finish(request) == 1);
    CHECK(fixture.Refuse(request) == AdmissionResult::Replay);
  }
  SUBCASE("refused before it arrives")
  {
    fixture.now += 1min;
    CHECK(fixture.Refuse(request) == AdmissionResult::NotRun);
    CHECK(fixture.Admit(request) == AdmissionResult::NotRun);
  }
  SUBCASE("refused here, then possibly run on another target")
  {
    fixture.now += 1min;
    CHECK(fixture.Refuse(request) == AdmissionResult::NotRun);
    CHECK(fixture.Admit(MakeRequest("a", 2)) == AdmissionResult::Claim);
    CHECK(fixture.ReplyToClaim(request, { ClaimResult::Granted, false, {} }) ==
          AdmissionResult::Unknown);
  }
}

// Guards against reporting "not run" for a request that an earlier incarnation
// of the target may have run.
TEST_CASE("a restarted target has history only since its start")
{
  IdempotencyTableFixture fixture;
  fixture.now += 10s;
  CHECK(fixture.Refuse(MakeRequest("a"), 11s) == AdmissionResult::Unknown);
  CHECK(fixture.Refuse(MakeRequest("a"), 9s) == AdmissionResult::NotRun);
  CHECK(fixture.Refuse(MakeRequest("b", 1), 9s) == AdmissionResult::Unknown);
  CHECK_FALSE(fixture.table.HasCompleteHistory(fixture.now, 30min));
  fixture.now += 30min;
  CHECK(fixture.table.HasCompleteHistory(fixture.now, 30min));
  // Keys of that age have expired.
  CHECK_FALSE(fixture.table.HasCompleteHistory(fixture.now, 30min + 1s));
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
  const auto answer = std::make_shared<const StoredResponse>();
  struct Case
  {
    const char* name;
    std::uint32_t attempt;
    ClaimReply reply;
    AdmissionResult admissionResult;
  };
  const std::vector<Case> cases = {
    { "first", 0, { ClaimResult::Granted, false, {} }, AdmissionResult::Queue },
    { "first, only target",
      0,
      { ClaimResult::NoWitness, false, {} },
      AdmissionResult::Queue },
    { "first, witness down",
      0,
      { ClaimResult::Unreachable, false, {} },
      AdmissionResult::NotRun },
    { "first, witness full",
      0,
      { ClaimResult::Full, true, {} },
      AdmissionResult::NotRun },
    { "retry, witness history complete",
      1,
      { ClaimResult::Granted, true, {} },
      AdmissionResult::Queue },
    { "retry, no complete history",
      1,
      { ClaimResult::Granted, false, {} },
      AdmissionResult::Unknown },
    { "retry, witness down",
      1,
      { ClaimResult::Unreachable, false, {} },
      AdmissionResult::Unknown },
    { "retry, only target",
      1,
      { ClaimResult::NoWitness, false, {} },
      AdmissionResult::Unknown },
    { "claimed before",
      1,
      { ClaimResult::Held, true, {} },
      AdmissionResult::Unknown },
    { "answered",
      1,
      { ClaimResult::Answered, true, answer },
      AdmissionResult::Replay },
    { "answer not stored",
      1,
      { ClaimResult::Answered, true, {} },
      AdmissionResult::Unknown },
    { "refused",
      1,
      { ClaimResult::NotRun, false, {} },
      AdmissionResult::NotRun },
    { "other request",
      1,
      { ClaimResult::KeyReused, true, {} },
      AdmissionResult::KeyReused },
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    IdempotencyTableFixture fixture;
    const Request request = MakeRequest("a", test.attempt);
    REQUIRE(fixture.Admit(request) == AdmissionResult::Claim);
    CHECK(fixture.ReplyToClaim(request, test.reply) == test.admissionResult);
    const bool runs = test.admissionResult == AdmissionResult::Queue;
    CHECK(fixture.table.Start(request.key) == runs);
    CHECK(fixture.table.IsIdle() == !runs);
    // A late duplicate reply has no effect.
    CHECK(fixture.ReplyToClaim(request, kGranted) == AdmissionResult::Unknown);
  }
}

// Guards against a witness that allows the same key to run twice.
TEST_CASE("a witness grants a key to one holder")
{
  IdempotencyTableFixture fixture;
  const auto claim = [&](const Claim& aClaim) {
    return fixture.table.RecordClaim(fixture.now, aClaim).result;
  };
  const RequestKey key = MakeRequest("a").key;
  CHECK(claim(MakeClaim("a")) == ClaimResult::Granted);
  CHECK(claim(MakeClaim("a")) ==
        ClaimResult::Granted); // The first reply was lost.
  CHECK(claim(MakeClaim("a", 1, 2)) == ClaimResult::Held); // Restarted holder.
  CHECK(fixture.Admit(MakeRequest("a", 1)) == AdmissionResult::Unknown);
  SUBCASE("answered")
  {
    fixture.table.RecordAnswer(fixture.now, key, 200, kBody);
    CHECK(claim(MakeClaim("a", 1, 2)) == ClaimResult::Answered);
    CHECK(fixture.Admit(MakeRequest("a", 1)) == AdmissionResult::Replay);
  }
  SUBCASE("refused by the holder")
  {
    fixture.table.RecordRefusal(fixture.now, key);
    CHECK(claim(MakeClaim("a")) == ClaimResult::NotRun);
    CHECK(fixture.Admit(MakeRequest("a")) == AdmissionResult::NotRun);
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
  IdempotencyTableSettings settings;
  SUBCASE("key limit")
  {
    settings.maxKeys = 10;
  }
  SUBCASE("byte limit")
  {
    settings.maxBytes = 4096;
  }
  IdempotencyTableFixture fixture(settings);
  int kept = 0;
  while (kept < 100) {
    const Request request = MakeRequest(std::to_string(kept));
    if (fixture.Admit(request) != AdmissionResult::Claim) {
      break;
    }
    fixture.ReplyToClaim(request, kGranted);
    fixture.table.Start(request.key);
    fixture.Finish(request);
    ++kept;
  }
  REQUIRE(kept >= 5);
  REQUIRE(kept <= 20);
  CHECK(fixture.table.ByteCount() <= settings.maxBytes);
  CHECK(fixture.Admit(MakeRequest("new")) == AdmissionResult::NotRun);
  CHECK(fixture.Admit(MakeRequest("new", 1)) == AdmissionResult::Unknown);
  CHECK(fixture.table.RecordClaim(fixture.now, MakeClaim("new")).result ==
        ClaimResult::Full);
  Request idempotent = MakeRequest("new");
  idempotent.isIdempotent = true;
  CHECK(fixture.Admit(idempotent) == AdmissionResult::RunUntracked);
  CHECK(fixture.Admit(MakeRequest("0", 1)) != AdmissionResult::Claim);
  fixture.now += 30min;
  CHECK(fixture.Admit(MakeRequest("new")) == AdmissionResult::Claim);
  CHECK(fixture.table.KeyCount() == 1);
}

// Guards against a refused idempotent request that runs because its key was
// evicted: a request refused as "not run" did not run.
TEST_CASE("a refused request is kept even if it is idempotent")
{
  IdempotencyTableSettings settings;
  settings.maxKeys = 1;
  IdempotencyTableFixture fixture(settings);
  Request request = MakeRequest("a");
  request.isIdempotent = true;
  REQUIRE(fixture.Admit(request) == AdmissionResult::Queue);
  CHECK(fixture.Refuse(request) == AdmissionResult::NotRun);
  CHECK(fixture.Admit(MakeRequest("b")) == AdmissionResult::NotRun);
  CHECK(fixture.Admit(request) == AdmissionResult::NotRun);
}

// Guards against refusing non-idempotent requests because short idempotent ones
// fill the table.
TEST_CASE("idempotent requests are evicted for non-idempotent ones")
{
  IdempotencyTableSettings settings;
  settings.maxKeys = 10;
  IdempotencyTableFixture fixture(settings);
  for (int index = 0; index < 25; ++index) {
    Request request = MakeRequest(std::to_string(index));
    request.isIdempotent = true;
    REQUIRE(fixture.Admit(request) == AdmissionResult::Queue);
    REQUIRE(fixture.table.Start(request.key));
    CHECK(fixture.Finish(request) == 1);
    CHECK(fixture.Admit(request) == AdmissionResult::Replay);
  }
  for (int index = 0; index < 10; ++index) {
    CHECK(fixture.Admit(MakeRequest("b" + std::to_string(index))) ==
          AdmissionResult::Claim);
  }
  CHECK(fixture.Admit(MakeRequest("c")) == AdmissionResult::NotRun);
  CHECK(fixture.table.KeyCount() == 10);
}

// Guards against rerunning a request because its answer could not be stored.
TEST_CASE("a response that does not fit is dropped, but its key is kept")
{
  IdempotencyTableSettings settings;
  settings.maxBytes = 1024;
  IdempotencyTableFixture fixture(settings);
  fixture.Run(MakeRequest("a"));
  const std::vector<std::byte> large(1024);
  CHECK(fixture.table.Finish(fixture.now, MakeRequest("a").key, 200, large)
          .size() == 1);
  CHECK(fixture.Admit(MakeRequest("a", 1)) == AdmissionResult::Unknown);
}

// Guards against reporting "not run" after the connection to the executor
// broke.
TEST_CASE("an unknown outcome stays unknown")
{
  IdempotencyTableFixture fixture;
  fixture.Run(MakeRequest("a"));
  CHECK(fixture.table.FinishUnknown(fixture.now, MakeRequest("a").key).size() ==
        1);
  CHECK(fixture.Admit(MakeRequest("a", 1)) == AdmissionResult::Unknown);
  CHECK(fixture.Refuse(MakeRequest("a")) == AdmissionResult::Unknown);
}

// Guards against a leaving target that interrupts running requests or admits
// new ones: a planned stop interrupts no request, and a departing target gets
// no new work.
TEST_CASE("a draining target admits nothing and finishes admitted requests")
{
  IdempotencyTableFixture fixture;
  fixture.Run(MakeRequest("a"));
  CHECK(fixture.Refuse(MakeRequest("refused"), 0s) == AdmissionResult::NotRun);
  fixture.table.Drain();
  CHECK(fixture.Admit(MakeRequest("b")) == AdmissionResult::NotRun);
  CHECK(fixture.Admit(MakeRequest("c", 1)) == AdmissionResult::Unknown);
  CHECK(fixture.Admit(MakeRequest("refused", 1)) == AdmissionResult::NotRun);
  CHECK(fixture.Admit(MakeRequest("a", 1)) == AdmissionResult::Wait);
  CHECK_FALSE(fixture.table.IsIdle());
  CHECK(fixture.Finish(MakeRequest("a")) == 2);
  CHECK(fixture.table.IsIdle());
  CHECK(fixture.Admit(MakeRequest("a", 2)) == AdmissionResult::Replay);
}

// Guards against erasing an entry at an earlier expiry time although it was
// reopened since.
TEST_CASE("a key that was refused and then ran expires after its last event")
{
  IdempotencyTableFixture fixture;
  const Request request = MakeRequest("a");
  fixture.now += 1min;
  fixture.Refuse(request);
  fixture.now += 20min;
  REQUIRE(fixture.Admit(MakeRequest("a", 1)) == AdmissionResult::Claim);
  REQUIRE(fixture.ReplyToClaim(request, kGranted) == AdmissionResult::Queue);
  fixture.now += 20min;
  CHECK(fixture.Admit(MakeRequest("b")) == AdmissionResult::Claim);
  CHECK(fixture.table.Start(request.key));
  CHECK(fixture.Finish(request) == 1);
  fixture.now += 29min;
  CHECK(fixture.Admit(request) == AdmissionResult::Replay);
  fixture.now += 1min;
  CHECK(fixture.Admit(request) == AdmissionResult::Claim);
}
