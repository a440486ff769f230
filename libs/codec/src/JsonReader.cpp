#include "JsonReader.h"

#include <algorithm>
#include <chrono>

namespace amaranthwind::codec {

namespace {

using base::ErrorCode;

/** Enough to correct a file in one pass; bounds the cost of malicious input. */
constexpr std::size_t kMaxErrors = 64;
/** Doubles of at least this magnitude are integers that exceed 64 bits. */
constexpr double kTwoTo64 = 18446744073709551616.0;
/** Fields requested of most objects. */
constexpr std::size_t kUsualFields = 16;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7F;

bool
IsControl(char aChar)
{
  const auto byte = static_cast<unsigned char>(aChar);
  return byte < kFirstPrintable || byte == kDelete;
}

} // namespace

void
ErrorList::Add(ErrorCode aCode, std::string aPath)
{
  if (this->errors.size() < kMaxErrors) {
    this->errors.push_back({ aCode, std::move(aPath) });
  }
}

std::string
Path::Text() const
{
  if (this->parent == nullptr) {
    return {};
  }
  std::string text = this->parent->Text();
  if (this->name) {
    AppendName(text, *this->name);
  } else {
    AppendIndex(text, this->index);
  }
  return text;
}

void
ValueReader::Fail(ErrorCode aCode) const
{
  std::string text = this->path.Text();
  this->errors.Add(aCode, text.empty() ? "document" : std::move(text));
}

void
ValueReader::FailAt(ErrorCode aCode, std::string_view aName) const
{
  std::string text = this->path.Text();
  AppendName(text, aName);
  this->errors.Add(aCode, std::move(text));
}

void
Read(const ValueReader& aReader, bool& aOut)
{
  if (const bool* value = aReader.value.if_bool()) {
    aOut = *value;
  } else {
    aReader.Fail(ErrorCode::WrongType);
  }
}

const boost::json::string*
ReadText(const ValueReader& aReader)
{
  const boost::json::string* text = aReader.value.if_string();
  if (text == nullptr) {
    aReader.Fail(ErrorCode::WrongType);
  }
  return text;
}

void
Read(const ValueReader& aReader, std::string& aOut)
{
  if (const boost::json::string* text = ReadText(aReader)) {
    aOut.assign(text->data(), text->size());
  }
}

void
Read(const ValueReader& aReader, BoundedText aOut)
{
  const boost::json::string* text = ReadText(aReader);
  if (text == nullptr) {
    return;
  }
  const std::string_view view(text->data(), text->size());
  if (const auto code = CheckText(view, aOut.min, aOut.max)) {
    aReader.Fail(*code);
  } else {
    aOut.out = view;
  }
}

std::optional<ErrorCode>
CheckText(std::string_view aText, std::size_t aMin, std::size_t aMax)
{
  if (aText.size() > aMax) {
    return ErrorCode::TooLarge;
  }
  if (aText.size() < aMin ||
      std::any_of(aText.begin(), aText.end(), IsControl)) {
    return ErrorCode::OutOfRange;
  }
  return std::nullopt;
}

bool
ReadInteger(const ValueReader& aReader,
            std::uint64_t aMin,
            std::uint64_t aMax,
            std::uint64_t& aOut)
{
  const boost::json::value& value = aReader.value;
  std::uint64_t number = 0;
  if (value.is_uint64()) {
    number = value.get_uint64();
  } else if (value.is_int64()) {
    if (value.get_int64() < 0) {
      aReader.Fail(ErrorCode::OutOfRange);
      return false;
    }
    number = static_cast<std::uint64_t>(value.get_int64());
  } else {
    const bool isTooBig =
      value.is_double() &&
      (value.get_double() >= kTwoTo64 || value.get_double() <= -kTwoTo64);
    aReader.Fail(isTooBig ? ErrorCode::OutOfRange : ErrorCode::WrongType);
    return false;
  }
  if (number < aMin || number > aMax) {
    aReader.Fail(ErrorCode::OutOfRange);
    return false;
  }
  aOut = number;
  return true;
}

void
Read(const ValueReader& aReader, Millis aOut)
{
  std::uint64_t number = 0;
  if (ReadInteger(aReader, aOut.min, aOut.max, number)) {
    aOut.out = std::chrono::milliseconds(number);
  }
}

void
Read(const ValueReader& aReader, Seconds aOut)
{
  std::uint64_t number = 0;
  if (ReadInteger(aReader, aOut.min, aOut.max, number)) {
    aOut.out = std::chrono::seconds(number);
  }
}

ObjectReader::ObjectReader(const ValueReader& aReader)
  : reader(aReader)
  , object(aReader.value.if_object())
{
  this->requestedNames.reserve(kUsualFields);
  if (this->object == nullptr) {
    this->reader.Fail(ErrorCode::WrongType);
  }
}

const boost::json::value*
ObjectReader::Find(std::string_view aName)
{
  this->requestedNames.push_back(aName);
  return this->object == nullptr
           ? nullptr
           : this->object->if_contains({ aName.data(), aName.size() });
}

bool
ObjectReader::Has(std::string_view aName) const
{
  return this->object != nullptr &&
         this->object->contains({ aName.data(), aName.size() });
}

void
ObjectReader::Finish()
{
  if (this->object == nullptr) {
    return;
  }
  for (const auto& field : *this->object) {
    const std::string_view name(field.key().data(), field.key().size());
    if (std::find(this->requestedNames.begin(),
                  this->requestedNames.end(),
                  name) == this->requestedNames.end()) {
      this->reader.FailAt(ErrorCode::UnknownField, name);
    }
  }
}

} // namespace amaranthwind::codec
