#include "JsonParse.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/value_stack.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace amaranthwind::codec {

namespace {

namespace json = boost::json;
using base::ErrorCode;
using json::error_code;

/** Longer field names are truncated in error messages. */
constexpr std::size_t kMaxNameInPath = 64;

/** An object or array whose end has not been parsed yet. */
struct OpenContainer
{
  bool isObject = false;
  /** Arrays only: number of elements started so far. */
  std::size_t elementCount = 0;
  /** Objects only: index of its first key in KeyStack. */
  std::size_t firstKey = 0;
  /** Objects only: index of the most recent key in KeyStack. */
  std::optional<std::size_t> key;
  /** All keys of an object that has many. */
  std::set<std::string, std::less<>> sortedKeys;
};

/** The keys of the open objects, in the order in which they were parsed. */
class KeyStack
{
public:
  std::size_t Size() const noexcept { return this->ends.size(); }
  std::string_view Key(std::size_t aIndex) const
  {
    const std::size_t start = aIndex == 0 ? 0 : this->ends[aIndex - 1];
    return std::string_view(this->bytes)
      .substr(start, this->ends[aIndex] - start);
  }
  void AppendPart(std::string_view aPart) { this->bytes += aPart; }
  void FinishKey() { this->ends.push_back(this->bytes.size()); }
  /** Removes all keys from aSize on. */
  void Truncate(std::size_t aSize)
  {
    this->ends.resize(aSize);
    this->bytes.resize(aSize == 0 ? 0 : this->ends.back());
  }

private:
  std::string bytes;
  /** End of each key in `bytes`. */
  std::vector<std::size_t> ends;
};

/**
 * Builds a json::value from parser events. Unlike json::parse(), which keeps
 * the last of several equal keys, it rejects duplicates; it also tracks the
 * path at which parsing stopped.
 */
struct ValueBuilder
{
  // Names and limits required by json::basic_parser.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr std::size_t max_object_size = json::object::max_size();
  static constexpr std::size_t max_array_size = json::array::max_size();
  static constexpr std::size_t max_key_size = json::string::max_size();
  static constexpr std::size_t max_string_size = json::string::max_size();

  bool on_document_begin(error_code&)
  {
    this->stack.reset(
      json::make_shared_resource<json::monotonic_resource>(this->textSize));
    return true;
  }
  bool on_document_end(error_code&) { return true; }
  bool on_object_begin(error_code&) { return this->Open(true); }
  bool on_object_end(std::size_t aCount, error_code&)
  {
    this->keys.Truncate(this->openContainers.back().firstKey);
    this->openContainers.pop_back();
    this->stack.push_object(aCount);
    return true;
  }
  bool on_array_begin(error_code&) { return this->Open(false); }
  bool on_array_end(std::size_t aCount, error_code&)
  {
    this->openContainers.pop_back();
    this->stack.push_array(aCount);
    return true;
  }
  bool on_key_part(json::string_view aPart, std::size_t, error_code&)
  {
    this->keys.AppendPart({ aPart.data(), aPart.size() });
    this->stack.push_chars(aPart);
    return true;
  }
  bool on_key(json::string_view aPart, std::size_t, error_code& aError)
  {
    this->keys.AppendPart({ aPart.data(), aPart.size() });
    this->keys.FinishKey();
    OpenContainer& object = this->openContainers.back();
    object.key = this->keys.Size() - 1;
    if (!this->IsNewKey(object)) {
      this->isDuplicate = true;
      aError = json::error::syntax;
      return false;
    }
    this->stack.push_key(aPart);
    return true;
  }
  bool on_string_part(json::string_view aPart, std::size_t, error_code&)
  {
    this->stack.push_chars(aPart);
    return true;
  }
  bool on_string(json::string_view aPart, std::size_t, error_code&)
  {
    this->BeginValue();
    this->stack.push_string(aPart);
    return true;
  }
  bool on_number_part(json::string_view, error_code&) { return true; }
  bool on_int64(std::int64_t aValue, json::string_view, error_code&)
  {
    this->BeginValue();
    this->stack.push_int64(aValue);
    return true;
  }
  bool on_uint64(std::uint64_t aValue, json::string_view, error_code&)
  {
    this->BeginValue();
    this->stack.push_uint64(aValue);
    return true;
  }
  bool on_double(double aValue, json::string_view, error_code&)
  {
    this->BeginValue();
    this->stack.push_double(aValue);
    return true;
  }
  bool on_bool(bool aValue, error_code&)
  {
    this->BeginValue();
    this->stack.push_bool(aValue);
    return true;
  }
  bool on_null(error_code&)
  {
    this->BeginValue();
    this->stack.push_null();
    return true;
  }
  bool on_comment_part(json::string_view, error_code&) { return true; }
  bool on_comment(json::string_view, error_code&) { return true; }
  // NOLINTEND(readability-identifier-naming)

  std::string Path() const
  {
    std::string path;
    for (const OpenContainer& container : this->openContainers) {
      if (container.key) {
        AppendName(path, this->keys.Key(*container.key));
      } else if (!container.isObject && container.elementCount > 0) {
        AppendIndex(path, container.elementCount - 1);
      }
    }
    return path;
  }

  json::value_stack stack;
  std::vector<OpenContainer> openContainers;
  KeyStack keys;
  std::size_t textSize = 0;
  bool isDuplicate = false;

private:
  /**
   * Whether the most recent key of the object differs from its earlier ones.
   * Linear search is faster than a tree for the few keys of most objects;
   * beyond kMaxLinearKeys, a tree avoids quadratic time.
   */
  bool IsNewKey(OpenContainer& aObject) const
  {
    constexpr std::size_t kMaxLinearKeys = 32;
    const std::size_t last = *aObject.key;
    const std::string_view key = this->keys.Key(last);
    if (last - aObject.firstKey < kMaxLinearKeys) {
      for (std::size_t i = aObject.firstKey; i < last; ++i) {
        if (this->keys.Key(i) == key) {
          return false;
        }
      }
      return true;
    }
    if (aObject.sortedKeys.empty()) {
      for (std::size_t i = aObject.firstKey; i < last; ++i) {
        aObject.sortedKeys.emplace(this->keys.Key(i));
      }
    }
    return aObject.sortedKeys.emplace(key).second;
  }

  bool Open(bool aIsObject)
  {
    this->BeginValue();
    OpenContainer& opened = this->openContainers.emplace_back();
    opened.isObject = aIsObject;
    opened.firstKey = this->keys.Size();
    return true;
  }

  void BeginValue()
  {
    if (!this->openContainers.empty() &&
        !this->openContainers.back().isObject) {
      ++this->openContainers.back().elementCount;
    }
  }
};

base::Error
ParseError(const ValueBuilder& aHandler,
           const error_code& aError,
           std::size_t aPosition)
{
  const std::string path = aHandler.Path();
  if (aHandler.isDuplicate) {
    return { ErrorCode::DuplicateKey, path };
  }
  if (aError == json::error::too_deep) {
    return { ErrorCode::OutOfRange,
             path + (path.empty() ? "" : " ") + "nested too deep" };
  }
  const ErrorCode code = aError == json::error::incomplete
                           ? ErrorCode::Truncated
                           : ErrorCode::Malformed;
  return { code,
           path + (path.empty() ? "" : " ") + "at byte " +
             std::to_string(aPosition) };
}

} // namespace

base::Result<json::value>
ParseJson(std::string_view aText, std::size_t aMaxBytes)
{
  if (aText.size() > aMaxBytes) {
    return base::Fail(ErrorCode::TooLarge, "document");
  }
  json::parse_options options;
  options.max_depth = kMaxDepth;
  json::basic_parser<ValueBuilder> parser(options);
  parser.handler().textSize = aText.size();
  error_code error;
  const std::size_t position =
    parser.write_some(false, aText.data(), aText.size(), error);
  if (!error && position < aText.size()) {
    error = json::error::extra_data;
  }
  if (error) {
    return base::failure(ParseError(parser.handler(), error, position));
  }
  return parser.handler().stack.release();
}

std::string_view
TextOf(std::span<const std::byte> aBytes) noexcept
{
  return { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() };
}

void
AppendName(std::string& aPath, std::string_view aName)
{
  if (!aPath.empty()) {
    aPath += '.';
  }
  aPath += aName.empty() ? "\"\"" : aName.substr(0, kMaxNameInPath);
}

void
AppendIndex(std::string& aPath, std::size_t aIndex)
{
  aPath += '[' + std::to_string(aIndex) + ']';
}

} // namespace amaranthwind::codec
