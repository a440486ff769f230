#pragma once

#include "amaranthwind/base/Result.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace amaranthwind::codec {

/** Largest document in bytes: the frame limit of the inner protocol. */
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{ 1 } << 20U;
/**
 * Largest log record in bytes. Above the limit of other documents, so that a
 * record that was accepted is read back although it says more than the request
 * that it came from.
 */
inline constexpr std::size_t kMaxRecordBytes = std::size_t{ 4 } << 20U;
/** Deepest nesting; the deepest document of the project has 8 levels. */
inline constexpr std::size_t kMaxDepth = 16;

/**
 * Parses one JSON document. Errors, with the path of the place: TooLarge,
 * OutOfRange (nested too deep), DuplicateKey, Truncated, Malformed.
 */
base::Result<boost::json::value>
ParseJson(std::string_view aText, std::size_t aMaxBytes = kMaxDocumentBytes);

std::string_view
TextOf(std::span<const std::byte> aBytes) noexcept;

/** Appends ".name" to a path; long names are cut, an empty one is quoted. */
void
AppendName(std::string& aPath, std::string_view aName);

/** Appends "[index]" to a path. */
void
AppendIndex(std::string& aPath, std::size_t aIndex);

} // namespace amaranthwind::codec
