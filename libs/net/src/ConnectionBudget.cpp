#include "amaranthwind/net/ConnectionBudget.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <utility>
#include <vector>

namespace amaranthwind::net {

namespace {

/** Beyond the limit by this part, no further connections are opened. */
constexpr std::size_t kExcessDivisor = 8;
constexpr std::size_t kMaxListeners = 16;
/** Descriptors for files, threads and own connections, if there are enough. */
constexpr std::size_t kReservedDescriptors = 512;

/** What one listener uses. */
struct Use
{
  std::weak_ptr<BudgetedListener> listener;
  std::size_t maxBufferedBytes = SIZE_MAX;
  std::atomic<std::size_t> connections{ 0 };
  std::atomic<std::size_t> bufferedBytes{ 0 };

  std::size_t Of(Shortage aShortage) const noexcept
  {
    return aShortage == Shortage::Connections ? this->connections.load()
                                              : this->bufferedBytes.load();
  }
};

} // namespace

struct ConnectionBudget::Impl
{
  explicit Impl(const ConnectionBudgetOptions& aOptions)
    : options(aOptions)
  {
  }

  std::size_t MaxConnections() const
  {
    return std::min(this->options.maxConnections, DescriptorsForConnections());
  }

  /** The listeners that use any, those that use most first. */
  std::vector<std::shared_ptr<BudgetedListener>> ByUse(Shortage aShortage)
  {
    std::vector<std::pair<std::size_t, std::shared_ptr<BudgetedListener>>> uses;
    {
      const std::lock_guard lock(this->mutex);
      for (const Use& each : this->uses) {
        const std::size_t amount = each.Of(aShortage);
        if (auto listener = each.listener.lock(); listener && amount > 0) {
          uses.emplace_back(amount, std::move(listener));
        }
      }
    }
    std::stable_sort(
      uses.begin(), uses.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.first > aRight.first;
      });
    std::vector<std::shared_ptr<BudgetedListener>> listeners;
    listeners.reserve(uses.size());
    for (auto& [amount, listener] : uses) {
      listeners.push_back(std::move(listener));
    }
    return listeners;
  }

  bool CloseOne(Shortage aShortage)
  {
    const auto listeners = this->ByUse(aShortage);
    return std::any_of(
      listeners.begin(), listeners.end(), [&](const auto& aListener) {
        return aListener->CloseOne(aShortage);
      });
  }

  bool IsBufferFull() const noexcept
  {
    return this->bufferedBytes.load() > this->options.maxBufferedBytes;
  }

  void LimitBufferedBytes(Use& aUse)
  {
    const auto isListenerFull = [&] {
      return aUse.bufferedBytes.load() > aUse.maxBufferedBytes;
    };
    if (!isListenerFull() && !this->IsBufferFull()) {
      return;
    }
    // Two threads at once would close more than needed.
    const std::lock_guard lock(this->closingMutex);
    const auto listener = aUse.listener.lock();
    while (listener != nullptr && isListenerFull() &&
           listener->CloseOne(Shortage::BufferedBytes)) {
    }
    while (this->IsBufferFull() && this->CloseOne(Shortage::BufferedBytes)) {
    }
  }

  Use& At(ListenerId aListener) { return this->uses.at(aListener.Get()); }

  const ConnectionBudgetOptions options;
  std::atomic<std::size_t> connections{ 0 };
  std::atomic<std::size_t> bufferedBytes{ 0 };
  std::atomic<std::size_t> handledBytes{ 0 };
  std::mutex closingMutex;
  /** Protects the listeners, not the amounts that they use. */
  std::mutex mutex;
  std::size_t listenerCount = 0;
  /** By id; nothing is removed. */
  std::array<Use, kMaxListeners> uses;
};

ConnectionBudget::ConnectionBudget(const ConnectionBudgetOptions& aOptions)
  : impl(std::make_unique<Impl>(aOptions))
{
}

ConnectionBudget::~ConnectionBudget() = default;

ListenerId
ConnectionBudget::Add(std::weak_ptr<BudgetedListener> aListener,
                      std::size_t aMaxBufferedBytes)
{
  const std::lock_guard lock(this->impl->mutex);
  const ListenerId id(this->impl->listenerCount++);
  Use& use = this->impl->At(id);
  use.listener = std::move(aListener);
  use.maxBufferedBytes = aMaxBufferedBytes;
  return id;
}

bool
ConnectionBudget::MakeRoom()
{
  const std::size_t limit = this->impl->MaxConnections();
  const std::size_t open = this->impl->connections.load();
  if (open < limit) {
    return true;
  }
  return this->impl->CloseOne(Shortage::Connections) &&
         open < limit + limit / kExcessDivisor;
}

void
ConnectionBudget::OnOutOfDescriptors()
{
  this->impl->CloseOne(Shortage::Connections);
}

void
ConnectionBudget::AddConnections(ListenerId aListener,
                                 std::ptrdiff_t aChange) noexcept
{
  const auto change = static_cast<std::size_t>(aChange);
  this->impl->At(aListener).connections.fetch_add(change);
  this->impl->connections.fetch_add(change);
}

void
ConnectionBudget::AddBufferedBytes(ListenerId aListener, std::ptrdiff_t aChange)
{
  const auto change = static_cast<std::size_t>(aChange);
  Use& use = this->impl->At(aListener);
  use.bufferedBytes.fetch_add(change);
  this->impl->bufferedBytes.fetch_add(change);
  if (aChange > 0) {
    this->impl->LimitBufferedBytes(use);
  }
}

bool
ConnectionBudget::TryAddHandledBytes(std::size_t aBytes) noexcept
{
  if (this->impl->handledBytes.fetch_add(aBytes) + aBytes <=
      this->impl->options.maxHandledBytes) {
    return true;
  }
  this->impl->handledBytes.fetch_sub(aBytes);
  return false;
}

void
ConnectionBudget::RemoveHandledBytes(std::size_t aBytes) noexcept
{
  this->impl->handledBytes.fetch_sub(aBytes);
}

std::size_t
ConnectionBudget::Connections() const noexcept
{
  return this->impl->connections.load();
}

std::size_t
ConnectionBudget::BufferedBytes() const noexcept
{
  return this->impl->bufferedBytes.load();
}

std::size_t
DescriptorsForConnections()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return SIZE_MAX / 2;
  }
  const auto descriptors = static_cast<std::size_t>(limit.rlim_cur);
  return descriptors - std::min(descriptors / 2, kReservedDescriptors);
}

} // namespace amaranthwind::net
