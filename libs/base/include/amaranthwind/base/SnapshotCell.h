#pragma once

#include "amaranthwind/base/RcuCell.h"

#include <memory>
#include <utility>

namespace amaranthwind::base {

/**
 * Holds the newest snapshot that one thread publishes for slow readers, such
 * as the state dump. A reader shares the snapshot and may keep it; it neither
 * waits for the publisher nor delays it.
 */
template<typename T>
class SnapshotCell
{
public:
  SnapshotCell()
    : cell(std::make_unique<const Pointer>(std::make_shared<const T>()))
  {
  }

  /** Never null. Thread-safe. */
  std::shared_ptr<const T> Get() const { return *this->cell.Read(); }

  /** By one thread at a time. */
  void Publish(T aSnapshot)
  {
    this->cell.Publish(std::make_unique<const Pointer>(
      std::make_shared<const T>(std::move(aSnapshot))));
  }

private:
  using Pointer = std::shared_ptr<const T>;
  RcuCell<Pointer> cell;
};

} // namespace amaranthwind::base
