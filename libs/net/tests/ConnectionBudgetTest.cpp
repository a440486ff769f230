#include "amaranthwind/net/ConnectionBudget.h"

#include <doctest/doctest.h>

#include <sys/resource.h>

#include <memory>

using namespace amaranthwind::net;

namespace {

/** Closes connections at once, as long as it has any. */
class CountingListener : public BudgetedListener
{
public:
  explicit CountingListener(ConnectionBudget& aBudget)
    : budget(aBudget)
  {
  }

  bool CloseOne(Shortage aShortage) override
  {
    if (this->open == 0) {
      return false;
    }
    --this->open;
    ++this->closed;
    if (aShortage == Shortage::Connections) {
      this->budget.AddConnections(this->id, -1);
    } else {
      this->budget.AddBufferedBytes(this->id, -this->bytesOfEach);
    }
    return true;
  }

  void Open(int aCount)
  {
    this->open += aCount;
    this->budget.AddConnections(this->id, aCount);
  }
  void Buffer(int aCount, std::ptrdiff_t aBytesOfEach)
  {
    this->open += aCount;
    this->bytesOfEach = aBytesOfEach;
    for (int i = 0; i < aCount; ++i) {
      this->budget.AddBufferedBytes(this->id, aBytesOfEach);
    }
  }

  ConnectionBudget& budget;
  ListenerId id;
  std::ptrdiff_t bytesOfEach = 0;
  int open = 0;
  int closed = 0;
};

struct Fixture
{
  std::shared_ptr<CountingListener> Add()
  {
    auto listener = std::make_shared<CountingListener>(this->budget);
    listener->id = this->budget.Add(listener);
    return listener;
  }

  ConnectionBudget budget{
    { .maxConnections = 16, .maxBufferedBytes = 1000, .maxHandledBytes = 100 }
  };
};

} // namespace

// Guards against a crowd at one listener that takes the connections of others.
TEST_CASE("the listener with most connections makes room for others")
{
  Fixture fixture;
  const auto crowded = fixture.Add();
  const auto quiet = fixture.Add();
  quiet->Open(3);
  crowded->Open(12);
  CHECK(fixture.budget.MakeRoom());
  CHECK(crowded->closed == 0);
  crowded->Open(1);
  CHECK(fixture.budget.MakeRoom());
  CHECK(crowded->closed == 1);
  CHECK(quiet->closed == 0);
}

// Guards against connections without limit while none can be closed.
TEST_CASE("no further connection is opened if none can be closed")
{
  Fixture fixture;
  const auto listener = fixture.Add();
  listener->Open(16);
  listener->open = 0; // All are being handled.
  CHECK_FALSE(fixture.budget.MakeRoom());
}

// Guards against bytes that each listener may keep and that exceed the memory
// together, and against closing more connections than needed.
TEST_CASE("incomplete messages of all listeners keep to one limit")
{
  Fixture fixture;
  const auto first = fixture.Add();
  const auto second = fixture.Add();
  first->Buffer(3, 200);
  second->Buffer(2, 200);
  CHECK(first->closed + second->closed == 0);
  second->Buffer(1, 50);
  CHECK(first->closed == 1);
  CHECK(second->closed == 0);
  CHECK(fixture.budget.BufferedBytes() <= 1000);
}

TEST_CASE("requests that are being handled keep to a limit")
{
  Fixture fixture;
  CHECK(fixture.budget.TryAddHandledBytes(60));
  CHECK_FALSE(fixture.budget.TryAddHandledBytes(60));
  CHECK(fixture.budget.TryAddHandledBytes(40));
  fixture.budget.RemoveHandledBytes(100);
  CHECK(fixture.budget.TryAddHandledBytes(100));
}

// Guards against connections of clients that leave no descriptors for those
// that the process opens itself.
TEST_CASE("part of the descriptors is not for connections of clients")
{
  rlimit limit{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &limit) == 0);
  CHECK(DescriptorsForConnections() < limit.rlim_cur);
  CHECK(DescriptorsForConnections() >= limit.rlim_cur / 2);
}
