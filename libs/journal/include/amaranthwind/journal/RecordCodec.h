#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/journal/Record.h"

#include <cstddef>
#include <span>
#include <vector>

namespace amaranthwind::journal {

/** Encodes and decodes records; keeps the journal independent of the format. */
class RecordCodec
{
public:
  virtual ~RecordCodec() = default;

  virtual std::vector<std::byte> Encode(const Record& aRecord) const = 0;

  /** Errors: those for invalid input; the subject is the path of the field. */
  virtual base::Result<Record> Decode(
    std::span<const std::byte> aPayload) const = 0;
};

} // namespace amaranthwind::journal
