#pragma once

#include "amaranthwind/base/Result.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace amaranthwind::codec {

/** Maximum document size in bytes: the internal protocol's frame limit. */
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{ 1 } << 20U;
/**
 * Maximum log record size in bytes. Larger than the limit of other documents,
 * since a record holds more data than the accepted request that it comes from
 * and must still be readable.
 */
inline constexpr std::size_t kMaxRecordBytes = std::size_t{ 4 } << 20U;
/** Maximum nesting depth; the deepest document in use has 8 levels. */
inline constexpr std::size_t kMaxDepth = 16;

/**
 * Parses a JSON document. Errors: TooLarge, OutOfRange (nested too deep),
 * DuplicateKey, Truncated, Malformed; the subject gives the location.
 */
base::Result<boost::json::value>
ParseJson(std::string_view aText, std::size_t aMaxBytes = kMaxDocumentBytes);

std::string_view
TextOf(std::span<const std::byte> aBytes) noexcept;

/** Appends ".name" to a path. Truncates long names, writes "" if empty. */
void
AppendName(std::string& aPath, std::string_view aName);

/** Appends "[index]" to a path. */
void
AppendIndex(std::string& aPath, std::size_t aIndex);

} // namespace amaranthwind::codec
