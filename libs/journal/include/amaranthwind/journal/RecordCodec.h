#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/journal/Record.h"

#include <cstddef>
#include <span>
#include <vector>

namespace amaranthwind::journal {

/** Encoding of records, so that the journal does not depend on a format. */
class RecordCodec
{
public:
  virtual ~RecordCodec() = default;

  virtual std::vector<std::byte> Encode(const Record& aRecord) const = 0;

  /** Errors: those of bad input; the subject is the path of the field. */
  virtual base::Result<Record> Decode(
    std::span<const std::byte> aPayload) const = 0;
};

} // namespace amaranthwind::journal
