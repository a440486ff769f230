#include "amaranthwind/telemetry/Logger.h"

#include "JsonText.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace amaranthwind::telemetry {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7F;
constexpr unsigned kBitsPerDigit = 4;
constexpr unsigned kDigitMask = 0xF;
/** Longer text values are truncated. */
constexpr std::size_t kMaxValueBytes = 256;

bool
IsControl(char aChar) noexcept
{
  const auto byte = static_cast<unsigned char>(aChar);
  return byte < kFirstPrintable || byte == kDelete;
}

/** Appends a text, quoted and escaped where it could be misparsed. */
void
AppendText(std::string& aLine, std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  const std::string_view text = aText.substr(0, kMaxValueBytes);
  const bool isPlain =
    !text.empty() && std::none_of(text.begin(), text.end(), [](char aChar) {
      return IsControl(aChar) || aChar == ' ' || aChar == '"' || aChar == '=' ||
             aChar == '\\';
    });
  if (isPlain) {
    aLine += text;
    return;
  }
  aLine += '"';
  for (const char character : text) {
    if (IsControl(character)) {
      const auto byte = static_cast<unsigned char>(character);
      aLine += "\\x";
      aLine += kDigits[byte >> kBitsPerDigit];
      aLine += kDigits[byte & kDigitMask];
    } else {
      if (character == '"' || character == '\\') {
        aLine += '\\';
      }
      aLine += character;
    }
  }
  aLine += '"';
}

void
AppendField(std::string& aLine, const LogField& aField)
{
  aLine += ' ';
  aLine += aField.key;
  aLine += '=';
  if (const auto* text = std::get_if<std::string_view>(&aField.value)) {
    AppendText(aLine, *text);
  } else if (const auto* number = std::get_if<std::int64_t>(&aField.value)) {
    aLine += std::to_string(*number);
  } else {
    aLine += std::to_string(std::get<std::uint64_t>(aField.value));
  }
}

std::string_view
LevelName(LogLevel aLevel) noexcept
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      break;
  }
  return "error";
}

/** Builds a JSON object member by member. */
class JsonObjectBuilder
{
public:
  void Add(std::string_view aKey, const DumpValue& aValue)
  {
    this->text += this->text.empty() ? '{' : ',';
    AppendJsonText(this->text, aKey);
    this->text += ':';
    AppendJsonValue(this->text, aValue);
  }
  void Add(const LogField& aField)
  {
    std::visit(
      [&](const auto& aValue) {
        if constexpr (std::is_same_v<std::decay_t<decltype(aValue)>,
                                     std::string_view>) {
          this->Add(aField.key, aValue.substr(0, kMaxValueBytes));
        } else {
          this->Add(aField.key, aValue);
        }
      },
      aField.value);
  }
  std::string Finish()
  {
    this->text += '}';
    return std::move(this->text);
  }

private:
  std::string text;
};

} // namespace

Logger::Logger(LogSink& aSink,
               const base::Clock& aClock,
               std::string_view aComponent,
               LogLimits aLimits)
  : sink(aSink)
  , clock(aClock)
  , component(aComponent)
  , limits(aLimits)
{
}

void
Logger::Debug(std::string_view aMessage, Fields aFields, LogSite aSite)
{
  this->Log(LogLevel::Debug, aMessage, aFields, aSite);
}

void
Logger::Info(std::string_view aMessage, Fields aFields, LogSite aSite)
{
  this->Log(LogLevel::Info, aMessage, aFields, aSite);
}

void
Logger::Warning(std::string_view aMessage, Fields aFields, LogSite aSite)
{
  this->Log(LogLevel::Warning, aMessage, aFields, aSite);
}

void
Logger::Error(std::string_view aMessage, Fields aFields, LogSite aSite)
{
  this->Log(LogLevel::Error, aMessage, aFields, aSite);
}

std::uint64_t
Logger::SuppressedLines() const noexcept
{
  return this->suppressedLines.load(std::memory_order_relaxed);
}

void
Logger::Log(LogLevel aLevel,
            std::string_view aMessage,
            Fields aFields,
            LogSite aSite)
{
  if (!this->sink.IsEnabled(aLevel)) {
    return;
  }
  const base::TimePoint now = this->clock.Now();
  RateLimit& siteLimit = this->FindSite(aSite).limit;
  const bool isAllowed =
    siteLimit.TryAcquire(now, this->limits.perSite, this->limits.window) &&
    this->componentLimit.TryAcquire(
      now, this->limits.perComponent, this->limits.window);
  if (!isAllowed) {
    this->suppressedLines.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  const std::uint64_t suppressed =
    siteLimit.TakeRefusedCount() + this->componentLimit.TakeRefusedCount();
  if (this->sink.Format() == LogFormat::Json) {
    this->sink.Write(aLevel,
                     this->FormatJson(aLevel, aMessage, aFields, suppressed));
    return;
  }
  std::string line = this->component;
  line += ": ";
  line += aMessage;
  for (const LogField& field : aFields) {
    AppendField(line, field);
  }
  if (suppressed > 0) {
    AppendField(line, { "suppressed", suppressed });
  }
  this->sink.Write(aLevel, line);
}

std::string
Logger::FormatJson(LogLevel aLevel,
                   std::string_view aMessage,
                   Fields aFields,
                   std::uint64_t aSuppressed) const
{
  JsonObjectBuilder line;
  line.Add("timeMs",
           std::int64_t{ std::chrono::duration_cast<std::chrono::milliseconds>(
                           this->clock.WallNow().time_since_epoch())
                           .count() });
  line.Add("level", LevelName(aLevel));
  line.Add("component", std::string_view(this->component));
  line.Add("event", aMessage);
  for (const LogField& field : aFields) {
    line.Add(field);
  }
  if (aSuppressed > 0) {
    line.Add("suppressed", aSuppressed);
  }
  return line.Finish();
}

Logger::Site&
Logger::FindSite(LogSite aSite) noexcept
{
  // The address of the file name is unique only within a translation unit, so a
  // call site in a header counts separately in each unit that includes it.
  constexpr std::uint64_t kHashMultiplier = 0x9E37'79B9'7F4A'7C15;
  constexpr unsigned kHashShift = 32;
  const auto file = reinterpret_cast<std::uintptr_t>(aSite.file);
  const std::uint64_t key =
    (((file * kHashMultiplier) ^ aSite.line) * kHashMultiplier) | 1U;
  std::size_t index = (key >> kHashShift) % kMaxSites;
  for (std::size_t probes = 0; probes < kMaxSites; ++probes) {
    Site& site = this->sites[index];
    std::uint64_t current = site.key.load(std::memory_order_relaxed);
    if (current == key ||
        (current == 0 && (site.key.compare_exchange_strong(
                            current, key, std::memory_order_relaxed) ||
                          current == key))) {
      return site;
    }
    index = (index + 1) % kMaxSites;
  }
  return this->sites.back();
}

} // namespace amaranthwind::telemetry
