#include "amaranthwind/telemetry/StateDump.h"

#include "JsonText.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace amaranthwind::telemetry {

namespace {

/** Renders one section of the document, limited to a number of bytes. */
class JsonSection final : public DumpWriter
{
public:
  using DumpWriter::Row;
  using DumpWriter::Table;

  explicit JsonSection(std::size_t aMaxBytes)
    : maxBytes(aMaxBytes)
  {
  }

  void Value(std::string_view aName, DumpValue aValue) override
  {
    std::string text = this->values.empty() ? "" : ",";
    AppendJsonText(text, aName);
    text += ':';
    AppendJsonValue(text, aValue);
    if (this->CheckCapacity(text.size())) {
      this->values += text;
    }
  }

  void Table(std::string_view aName,
             std::span<const std::string_view> aColumns) override
  {
    std::string text = this->tables.empty() ? "" : "]},";
    AppendJsonText(text, aName);
    text += ":{\"columns\":[";
    for (std::size_t i = 0; i < aColumns.size(); ++i) {
      text += i == 0 ? "" : ",";
      AppendJsonText(text, aColumns[i]);
    }
    text += "],\"rows\":[";
    this->isTableOpen = this->CheckCapacity(text.size());
    if (this->isTableOpen) {
      this->tables += text;
      this->columns = aColumns.size();
      this->isFirstRow = true;
    }
  }

  void Row(std::span<const DumpValue> aValues) override
  {
    if (!this->isTableOpen || aValues.size() != this->columns) {
      this->isTruncated = true;
      return;
    }
    std::string text = this->isFirstRow ? "[" : ",[";
    for (std::size_t i = 0; i < aValues.size(); ++i) {
      text += i == 0 ? "" : ",";
      AppendJsonValue(text, aValues[i]);
    }
    text += ']';
    if (this->CheckCapacity(text.size())) {
      this->tables += text;
      this->isFirstRow = false;
    }
  }

  bool IsFull() const noexcept override { return this->isTruncated; }

  std::string Finish(std::string_view aName, std::string_view aError) &&
  {
    std::string text = "{\"name\":";
    AppendJsonText(text, aName);
    text += ",\"values\":{" + this->values + "},\"tables\":{" + this->tables +
            (this->tables.empty() ? "}" : "]}}") +
            ",\"truncated\":" + (this->isTruncated ? "true" : "false");
    if (!aError.empty()) {
      text += ",\"error\":";
      AppendJsonText(text, aError);
    }
    return text + '}';
  }

private:
  /** Returns false, and marks the section truncated, once the limit is hit. */
  bool CheckCapacity(std::size_t aBytes)
  {
    this->isTruncated =
      this->isTruncated ||
      this->values.size() + this->tables.size() + aBytes > this->maxBytes;
    return !this->isTruncated;
  }

  const std::size_t maxBytes;
  std::string values;
  std::string tables;
  std::size_t columns = 0;
  bool isTableOpen = false;
  bool isFirstRow = true;
  bool isTruncated = false;
};

std::string
RenderSection(const DumpSource& aSource, std::size_t aMaxBytes)
{
  JsonSection section(aMaxBytes);
  std::string error;
  try {
    aSource.WriteDump(section);
  } catch (const std::exception& failure) {
    // A failing source must not hide the state of the others.
    error = failure.what();
  }
  return std::move(section).Finish(aSource.DumpName(), error);
}

} // namespace

StateDump::StateDump(std::string_view aProcess, std::size_t aMaxBytes)
  : process(aProcess)
  , maxBytes(aMaxBytes)
{
}

void
StateDump::Add(std::shared_ptr<const DumpSource> aSource)
{
  std::lock_guard lock(this->mutex);
  this->sources.push_back(std::move(aSource));
}

std::string
StateDump::Render() const
{
  std::vector<std::shared_ptr<const DumpSource>> current;
  {
    std::lock_guard lock(this->mutex);
    current = this->sources;
  }
  std::string text = "{\"process\":";
  AppendJsonText(text, this->process);
  text += ",\"sections\":[";
  for (std::size_t i = 0; i < current.size(); ++i) {
    const std::size_t remainingBytes =
      this->maxBytes - std::min(this->maxBytes, text.size());
    text += i == 0 ? "" : ",";
    text += RenderSection(*current[i], remainingBytes / (current.size() - i));
  }
  return text + "]}";
}

} // namespace amaranthwind::telemetry
