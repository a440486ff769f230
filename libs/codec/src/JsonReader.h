#pragma once

#include "JsonParse.h"

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/base/StrongId.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amaranthwind::codec {

/** Maximum duration in a document: 100 years, which fits base::Duration. */
inline constexpr std::uint64_t kMaxDurationMs =
  std::uint64_t{ 100 } * 365 * 24 * 3600 * 1000;

/** The errors found in one document. */
class ErrorList
{
public:
  /** Errors beyond a fixed number are dropped. */
  void Add(base::ErrorCode aCode, std::string aPath);
  bool IsEmpty() const noexcept { return this->errors.empty(); }
  const base::Error& First() const noexcept { return this->errors.front(); }
  std::vector<base::Error> Take() { return std::move(this->errors); }

private:
  std::vector<base::Error> errors;
};

/** Location of a value; linked to its parent and formatted only on error. */
struct Path
{
  const Path* parent = nullptr;
  /** Not set for the document itself and for array elements. */
  std::optional<std::string_view> name;
  std::size_t index = 0;

  std::string Text() const;
};

/** A JSON value with its location and the list that collects its errors. */
struct ValueReader
{
  const boost::json::value& value;
  const Path& path;
  ErrorList& errors;

  void Fail(base::ErrorCode aCode) const;
  void FailAt(base::ErrorCode aCode, std::string_view aName) const;
};

/** Destination of an integer with inclusive limits. */
template<typename T>
struct Bounded
{
  T& out;
  std::uint64_t min = 0;
  std::uint64_t max = std::numeric_limits<T>::max();
};

/** Destination of a duration given as an integer number of milliseconds. */
struct Millis
{
  base::Duration& out;
  std::uint64_t min = 0;
  std::uint64_t max = kMaxDurationMs;
};

/** Destination of a duration given as an integer number of seconds. */
struct Seconds
{
  base::Duration& out;
  std::uint64_t min = 0;
  std::uint64_t max = kMaxDurationMs / 1000;
};

/** Maximum size in bytes of an id chosen by an operator or a caller. */
inline constexpr std::size_t kMaxIdBytes = 128;

/** Destination of a text of limited size without control characters. */
struct BoundedText
{
  std::string& out;
  std::size_t min = 1;
  std::size_t max = kMaxIdBytes;
};

template<typename E>
using EnumName = std::pair<E, std::string_view>;

/** Destination of an enumerator given by its name. */
template<typename E>
struct Enum
{
  E& out;
  std::span<const EnumName<E>> names;
};

/** Destination of an id of 1 to kMaxIdBytes without control characters. */
template<typename Tag>
struct BoundedId
{
  base::StrongId<Tag>& out;
};

// The Read() functions leave the destination unchanged if they report an
// error.
void
Read(const ValueReader& aReader, bool& aOut);
void
Read(const ValueReader& aReader, std::string& aOut);
void
Read(const ValueReader& aReader, Millis aOut);
void
Read(const ValueReader& aReader, Seconds aOut);
void
Read(const ValueReader& aReader, BoundedText aOut);
/** Returns TooLarge or OutOfRange if the text violates the limits. */
std::optional<base::ErrorCode>
CheckText(std::string_view aText, std::size_t aMin, std::size_t aMax);
/** Reads an integer; returns false and reports an error if it is invalid. */
bool
ReadInteger(const ValueReader& aReader,
            std::uint64_t aMin,
            std::uint64_t aMax,
            std::uint64_t& aOut);
/** Returns the text of the value; null, and reports an error, if not a text. */
const boost::json::string*
ReadText(const ValueReader& aReader);

template<typename T>
void
Read(const ValueReader& aReader, Bounded<T> aOut)
{
  std::uint64_t number = 0;
  if (ReadInteger(aReader, aOut.min, aOut.max, number)) {
    aOut.out = static_cast<T>(number);
  }
}

inline void
Read(const ValueReader& aReader, std::uint32_t& aOut)
{
  Read(aReader, Bounded<std::uint32_t>{ aOut });
}

inline void
Read(const ValueReader& aReader, std::uint64_t& aOut)
{
  Read(aReader, Bounded<std::uint64_t>{ aOut });
}

template<typename Tag, typename Value>
void
Read(const ValueReader& aReader, base::StrongNumber<Tag, Value>& aOut)
{
  Value number{};
  Read(aReader, number);
  aOut = base::StrongNumber<Tag, Value>(number);
}

/** Accepts any text, since every written record must be readable. */
template<typename Tag>
void
Read(const ValueReader& aReader, base::StrongId<Tag>& aOut)
{
  if (const boost::json::string* text = ReadText(aReader)) {
    aOut = base::StrongId<Tag>(std::string_view(text->data(), text->size()));
  }
}

template<typename Tag>
void
Read(const ValueReader& aReader, BoundedId<Tag> aOut)
{
  std::string text;
  Read(aReader, BoundedText{ text });
  aOut.out = base::StrongId<Tag>(text);
}

template<typename E>
void
Read(const ValueReader& aReader, Enum<E> aOut)
{
  const boost::json::string* text = ReadText(aReader);
  if (text == nullptr) {
    return;
  }
  for (const auto& [value, name] : aOut.names) {
    if (name == std::string_view(text->data(), text->size())) {
      aOut.out = value;
      return;
    }
  }
  aReader.Fail(base::ErrorCode::OutOfRange);
}

template<typename T>
void
Read(const ValueReader& aReader, std::vector<T>& aOut)
{
  const boost::json::array* array = aReader.value.if_array();
  if (array == nullptr) {
    aReader.Fail(base::ErrorCode::WrongType);
    return;
  }
  aOut.clear();
  aOut.reserve(array->size());
  for (const auto& element : *array) {
    const Path path{ &aReader.path, std::nullopt, aOut.size() };
    Read(ValueReader{ element, path, aReader.errors }, aOut.emplace_back());
  }
}

/**
 * Reads the fields of one object. Finish() reports every field that was not
 * requested by Required() or Optional().
 */
class ObjectReader
{
public:
  explicit ObjectReader(const ValueReader& aReader);

  template<typename T>
  void Required(std::string_view aName, T&& aOut)
  {
    if (!this->Optional(aName, std::forward<T>(aOut)) &&
        this->object != nullptr) {
      this->reader.FailAt(base::ErrorCode::MissingField, aName);
    }
  }

  /** Returns false and leaves the destination unchanged if the field is absent.
   */
  template<typename T>
  bool Optional(std::string_view aName, T&& aOut)
  {
    const boost::json::value* field = this->Find(aName);
    if (field == nullptr) {
      return false;
    }
    const Path path{ &this->reader.path, aName };
    Read(ValueReader{ *field, path, this->reader.errors },
         std::forward<T>(aOut));
    return true;
  }

  bool Has(std::string_view aName) const;
  void Finish();

private:
  const boost::json::value* Find(std::string_view aName);

  ValueReader reader;
  const boost::json::object* object;
  std::vector<std::string_view> requestedNames;
};

/** Parses aText and reads it into aOut; all errors are added to aErrors. */
template<typename T>
void
ReadDocument(std::string_view aText,
             T&& aOut,
             ErrorList& aErrors,
             std::size_t aMaxBytes = kMaxDocumentBytes)
{
  base::Result<boost::json::value> parsed = ParseJson(aText, aMaxBytes);
  if (parsed.has_error()) {
    aErrors.Add(parsed.error().code, parsed.error().subject);
    return;
  }
  const Path root;
  Read(ValueReader{ parsed.value(), root, aErrors }, std::forward<T>(aOut));
}

/** Decodes a document as a T; returns its first error on failure. */
template<typename T>
base::Result<T>
DecodeDocument(std::string_view aText,
               std::size_t aMaxBytes = kMaxDocumentBytes)
{
  T out;
  ErrorList errors;
  ReadDocument(aText, out, errors, aMaxBytes);
  if (!errors.IsEmpty()) {
    return base::failure(errors.First());
  }
  return out;
}

} // namespace amaranthwind::codec
