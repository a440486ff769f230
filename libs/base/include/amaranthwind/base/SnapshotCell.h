#pragma once

#include "amaranthwind/base/RcuCell.h"

#include <memory>
#include <utility>

namespace amaranthwind::base {

/**
 * Holds the latest snapshot published by one thread for slow readers, such as
 * the state dump. Readers share ownership of the snapshot and may keep it; they
 * neither wait for the publisher nor delay it.
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

  /** Must not be called concurrently. */
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
