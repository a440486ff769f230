#include "amaranthwind/journal/RecordIdWindow.h"

namespace amaranthwind::journal {

RecordIdWindow::RecordIdWindow(std::uint64_t aOffsets)
  : offsets(aOffsets)
{
}

bool
RecordIdWindow::Insert(const base::RecordId& aId, base::LogOffset aOffset)
{
  while (!this->order.empty() &&
         this->order.front().offset.Get() + this->offsets < aOffset.Get()) {
    const auto found = this->newest.find(this->order.front().id);
    if (found->second == this->order.front().offset) {
      this->newest.erase(found);
    }
    this->order.pop_front();
  }
  this->order.push_back({ aOffset, aId });
  return this->newest.insert_or_assign(aId, aOffset).second;
}

} // namespace amaranthwind::journal
