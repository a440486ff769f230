#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/** Writes record.txt: one line an event, with milliseconds since the start. */
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(aPath)
  {
  }

  void Line(const std::string& aText)
  {
    const std::lock_guard lock(this->mutex);
    this->file << this->Since(std::chrono::steady_clock::now()) << " ms  "
               << aText << std::endl;
  }

  /** Milliseconds from the start to the given time. */
  std::int64_t Since(std::chrono::steady_clock::time_point aTime) const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime -
                                                                 this->start)
      .count();
  }

private:
  std::mutex mutex;
  std::ofstream file;
  const std::chrono::steady_clock::time_point start =
    std::chrono::steady_clock::now();
};

} // namespace review
