#include "amaranthwind/base/RcuCell.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

using namespace amaranthwind::base;

namespace {

struct Pair
{
  int first = 0;
  int second = 0;
};

} // namespace

// Guards against readers that see a partly replaced or destroyed value.
TEST_CASE("readers see a consistent value while it is replaced")
{
  constexpr int kVersions = 500;
  constexpr int kReaders = 3;
  RcuCell<Pair> cell(std::make_unique<const Pair>());
  std::atomic<bool> stop{ false };
  std::atomic<int> torn{ 0 };
  std::vector<std::thread> readers;
  readers.reserve(kReaders);
  for (int i = 0; i < kReaders; ++i) {
    readers.emplace_back([&] {
      while (!stop.load()) {
        auto guard = cell.Read();
        if (guard->first != guard->second) {
          torn.fetch_add(1);
        }
      }
    });
  }
  for (int version = 1; version <= kVersions; ++version) {
    cell.Publish(std::make_unique<const Pair>(Pair{ version, version }));
  }
  stop.store(true);
  for (auto& reader : readers) {
    reader.join();
  }
  CHECK(torn.load() == 0);
  CHECK(cell.Read()->first == kVersions);
}
