#include "amaranthwind/codec/SettingsCodec.h"

#include "JsonReader.h"
#include "ModelJson.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <string>
#include <utility>

namespace amaranthwind::codec {

namespace {

using base::ErrorCode;
using fleet::TargetKind;
using settings::LogLevel;

constexpr std::uint32_t kMaxIoThreads = 64;
constexpr std::uint32_t kMinBodyBytes = 1024;
/** Leaves 48 KiB of a 1 MiB protocol frame for the rest of the message. */
constexpr std::uint32_t kMaxBodyBytes = 1'000'000;
constexpr std::uint32_t kMinHeaderBytes = 1024;
constexpr std::uint32_t kMaxHeaderBytes = 1024 * 1024;
constexpr std::uint32_t kMaxConnections = 1'000'000;
/** Holds the largest request of one connection. */
constexpr std::uint32_t kMinBufferedBytes = 1024 * 1024;
constexpr std::uint32_t kMaxBufferedBytes = 1U << 30U;
constexpr std::uint32_t kMaxSlots = 65'536;
constexpr std::uint64_t kMinIdleTimeoutMs = 100;
constexpr std::uint64_t kMaxNoticeMs = 600'000;
/** Must allow one checkpoint in each quarter of the retention time. */
constexpr std::uint64_t kMinRetentionS = 4;
constexpr std::size_t kMaxLayoutBytes = 256;
constexpr std::uint32_t kMaxPort = 65'535;
/** A shorter lease would expire between two renewals. */
constexpr std::uint64_t kMinLeaseMs = 2000;
constexpr std::uint64_t kMaxLeaseMs = 60'000;
constexpr std::uint64_t kMinRevokeMs = 1500;
constexpr std::uint64_t kMinCancelMs = 2500;
/** A shorter one would leave no time to read the requests and to start. */
constexpr std::uint64_t kMinEvacuationMs = 2500;
constexpr std::uint64_t kMinConfigurationMs = 1500;
constexpr std::uint64_t kMaxStopMs = 60'000;
/** Holds the record of a job with the longest payload. */
constexpr std::uint32_t kMinLogRecordBytes = 32U * 1024;
constexpr std::uint32_t kMaxLogBytes = 1U << 30U;

constexpr std::array<EnumName<LogLevel>, 4> kLogLevelNames{
  { { LogLevel::Debug, "debug" },
    { LogLevel::Info, "info" },
    { LogLevel::Warning, "warning" },
    { LogLevel::Error, "error" } }
};

constexpr std::array<EnumName<settings::LogFormat>, 2> kLogFormatNames{
  { { settings::LogFormat::Text, "text" },
    { settings::LogFormat::Json, "json" } }
};

constexpr std::array<EnumName<TargetKind>, 2> kTargetKindNames{
  { { TargetKind::Executor, "executor" }, { TargetKind::Worker, "worker" } }
};

/** How an address is used, which determines the allowed values. */
enum class AddressUse : std::uint8_t
{
  Connect,   // Address of a peer: concrete IP and port.
  Listen,    // Wildcard IP and port 0 are allowed.
  Advertise, // Also sent to peers: no wildcard IP.
};

struct AddressField
{
  std::string& out;
  AddressUse use;
};

/** Returns whether aIp is a valid IP address; sets aIsWildcard if it is. */
bool
ParseIp(const std::string& aIp, bool aIsV6, bool& aIsWildcard)
{
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  if (inet_pton(aIsV6 ? AF_INET6 : AF_INET, aIp.c_str(), bytes.data()) != 1) {
    return false;
  }
  aIsWildcard = bytes == decltype(bytes){};
  return true;
}

bool
IsAddress(std::string_view aText, AddressUse aUse)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  std::string_view host = aText.substr(0, colon);
  const std::string_view digits = aText.substr(colon + 1);
  std::uint32_t port = 0;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      port > kMaxPort) {
    return false;
  }
  const bool isV6 = host.starts_with('[') && host.ends_with(']');
  if (isV6) {
    host = host.substr(1, host.size() - 2);
  }
  bool isWildcard = false;
  if (!ParseIp(std::string(host), isV6, isWildcard)) {
    return false;
  }
  const bool isPortAllowed = port != 0 || aUse != AddressUse::Connect;
  const bool isHostAllowed = !isWildcard || aUse == AddressUse::Listen;
  return isPortAllowed && isHostAllowed;
}

} // namespace

static void
Read(const ValueReader& aReader, AddressField aOut)
{
  std::string text;
  Read(aReader, text);
  if (!aReader.value.is_string()) {
    return;
  }
  if (IsAddress(text, aOut.use)) {
    aOut.out = std::move(text);
  } else {
    aReader.Fail(ErrorCode::OutOfRange);
  }
}

/** Element of a list of peer addresses. */
struct PeerAddressElement
{
  std::string text;
};

static void
Read(const ValueReader& aReader, PeerAddressElement& aOut)
{
  Read(aReader, AddressField{ aOut.text, AddressUse::Connect });
}

/** Element of a list of zones. */
struct ZoneElement
{
  base::ZoneId id;
};

static void
Read(const ValueReader& aReader, ZoneElement& aOut)
{
  Read(aReader, BoundedId<base::ZoneTag>{ aOut.id });
}

/** Reads the limits that all roles have. */
template<typename Limits>
static void
ReadBasicLimits(ObjectReader& aObject, Limits& aOut)
{
  aObject.Optional(
    "maxBodyBytes",
    Bounded<std::uint32_t>{ aOut.maxBodyBytes, kMinBodyBytes, kMaxBodyBytes });
  aObject.Optional("maxHeaderBytes",
                   Bounded<std::uint32_t>{
                     aOut.maxHeaderBytes, kMinHeaderBytes, kMaxHeaderBytes });
  aObject.Optional(
    "maxConnections",
    Bounded<std::uint32_t>{ aOut.maxConnections, 1, kMaxConnections });
  aObject.Optional("idleTimeoutMs",
                   Millis{ aOut.idleTimeout, kMinIdleTimeoutMs });
}

static void
Read(const ValueReader& aReader, settings::HttpLimits& aOut)
{
  ObjectReader object(aReader);
  ReadBasicLimits(object, aOut);
  object.Finish();
}

static void
Read(const ValueReader& aReader, settings::ListenerLimits& aOut)
{
  ObjectReader object(aReader);
  ReadBasicLimits(object, aOut);
  object.Optional("maxBufferedBytes",
                  Bounded<std::uint32_t>{ aOut.maxBufferedBytes,
                                          kMinBufferedBytes,
                                          kMaxBufferedBytes });
  object.Optional(
    "maxTotalConnections",
    Bounded<std::uint32_t>{ aOut.maxTotalConnections, 1, kMaxConnections });
  object.Optional("maxTotalBufferedBytes",
                  Bounded<std::uint32_t>{ aOut.maxTotalBufferedBytes,
                                          kMinBufferedBytes,
                                          kMaxBufferedBytes });
  object.Optional("maxHandledBytes",
                  Bounded<std::uint32_t>{ aOut.maxHandledBytes,
                                          kMinBufferedBytes,
                                          kMaxBufferedBytes });
  object.Optional("headerTimeoutMs",
                  Millis{ aOut.headerTimeout, kMinIdleTimeoutMs });
  object.Optional("requestTimeoutMs",
                  Millis{ aOut.requestTimeout, kMinIdleTimeoutMs });
  object.Optional("responseTimeoutMs",
                  Millis{ aOut.responseTimeout, kMinIdleTimeoutMs });
  object.Finish();
}

namespace {

void
ReadCommon(ObjectReader& aObject, settings::CommonSettings& aOut)
{
  aObject.Required("region", BoundedId<base::RegionTag>{ aOut.region });
  aObject.Required("zone", BoundedId<base::ZoneTag>{ aOut.zone });
  aObject.Required("innerListen",
                   AddressField{ aOut.innerListen, AddressUse::Advertise });
  aObject.Required("adminListen",
                   AddressField{ aOut.adminListen, AddressUse::Listen });
  aObject.Optional("ioThreads",
                   Bounded<std::uint32_t>{ aOut.ioThreads, 1, kMaxIoThreads });
  std::vector<PeerAddressElement> bootstrap;
  aObject.Optional("bootstrap", bootstrap);
  for (PeerAddressElement& peer : bootstrap) {
    aOut.bootstrap.push_back(std::move(peer.text));
  }
  aObject.Optional("logLevel",
                   Enum<LogLevel>{ aOut.log.level, kLogLevelNames });
  aObject.Optional("logLayout",
                   BoundedText{ aOut.log.layout, 1, kMaxLayoutBytes });
}

} // namespace

static void
Read(const ValueReader& aReader, settings::EntrySettings& aOut)
{
  ObjectReader object(aReader);
  object.Required("id", BoundedId<base::EntryTag>{ aOut.id });
  ReadCommon(object, aOut.common);
  object.Required("httpListen",
                  AddressField{ aOut.httpListen, AddressUse::Listen });
  object.Required("logService",
                  AddressField{ aOut.logService, AddressUse::Connect });
  std::vector<ZoneElement> zones;
  if (!object.Optional("coordinatedZones", zones)) {
    zones = { { aOut.common.zone } };
  }
  for (const ZoneElement& zone : zones) {
    aOut.coordinatedZones.push_back(zone.id);
  }
  object.Optional("limits", aOut.limits);
  object.Optional("noticePeriodMs",
                  Millis{ aOut.noticePeriod, 0, kMaxNoticeMs });
  object.Optional("logRetentionS",
                  Seconds{ aOut.logRetention, kMinRetentionS });
  object.Finish();
}

static void
Read(const ValueReader& aReader, settings::TargetSettings& aOut)
{
  ObjectReader object(aReader);
  object.Required("id", BoundedId<base::TargetTag>{ aOut.id });
  ReadCommon(object, aOut.common);
  if (aReader.value.is_object() && aOut.common.bootstrap.empty()) {
    // A target without a bootstrap entry could never register.
    aReader.FailAt(object.Has("bootstrap") ? ErrorCode::OutOfRange
                                           : ErrorCode::MissingField,
                   "bootstrap");
  }
  object.Required("kind", Enum<TargetKind>{ aOut.kind, kTargetKindNames });
  object.Required("rack", BoundedId<base::RackTag>{ aOut.rack });
  object.Required("serviceAddress",
                  AddressField{ aOut.serviceAddress, AddressUse::Connect });
  if (aOut.kind == TargetKind::Worker) {
    object.Required("resources", aOut.resources);
  } else {
    object.Required("slots",
                    Bounded<std::uint32_t>{ aOut.slots, 1, kMaxSlots });
    object.Required("connections",
                    Bounded<std::uint32_t>{ aOut.connections, 1, kMaxSlots });
  }
  object.Finish();
}

namespace {

void
ReadNode(ObjectReader& aObject, settings::NodeSettings& aOut)
{
  aObject.Required("id", BoundedText{ aOut.id });
  aObject.Required("region", BoundedId<base::RegionTag>{ aOut.region });
  aObject.Required("zone", BoundedId<base::ZoneTag>{ aOut.zone });
  aObject.Required("adminListen",
                   AddressField{ aOut.adminListen, AddressUse::Listen });
  aObject.Required("logService",
                   AddressField{ aOut.logService, AddressUse::Connect });
  aObject.Optional("maxLeaseMs",
                   Millis{ aOut.maxLease, kMinLeaseMs, kMaxLeaseMs });
  aObject.Optional("logLevel",
                   Enum<LogLevel>{ aOut.log.level, kLogLevelNames });
  aObject.Optional("limits", aOut.limits);
  aObject.Optional(
    "logFormat", Enum<settings::LogFormat>{ aOut.log.format, kLogFormatNames });
}

} // namespace

static void
Read(const ValueReader& aReader, settings::SchedulerSettings& aOut)
{
  ObjectReader object(aReader);
  ReadNode(object, aOut.node);
  object.Required("innerListen",
                  AddressField{ aOut.innerListen, AddressUse::Advertise });
  object.Required("clientListen",
                  AddressField{ aOut.clientListen, AddressUse::Listen });
  object.Required("readyListen",
                  AddressField{ aOut.readyListen, AddressUse::Listen });
  object.Optional("logRecordBytes",
                  Bounded<std::uint32_t>{
                    aOut.logRecordBytes, kMinLogRecordBytes, kMaxLogBytes });
  object.Optional("logAppendBytes",
                  Bounded<std::uint32_t>{
                    aOut.logAppendBytes, kMinLogRecordBytes, kMaxLogBytes });
  object.Optional("stopTimeMs", Millis{ aOut.stopTime, 1, kMaxStopMs });
  object.Optional("revokeLimitMs",
                  Millis{ aOut.keyRevocationLimit, kMinRevokeMs });
  object.Optional("configurationLimitMs",
                  Millis{ aOut.configurationLimit, kMinConfigurationMs });
  object.Optional("cancelLimitMs", Millis{ aOut.cancelLimit, kMinCancelMs });
  object.Optional("evacuationLimitMs",
                  Millis{ aOut.evacuationLimit, kMinEvacuationMs });
  object.Optional("learnRunTimes", aOut.learnsRunTimes);
  object.Optional("noticePeriodMs",
                  Millis{ aOut.noticePeriod, 0, kMaxNoticeMs });
  object.Optional("jobRetentionS", Seconds{ aOut.jobRetention, 1 });
  object.Optional("maxAcceptedBytes",
                  Bounded<std::uint32_t>{ aOut.maxAcceptedBytes,
                                          kMinBufferedBytes,
                                          kMaxBufferedBytes });
  object.Finish();
}

static void
Read(const ValueReader& aReader, settings::AgentSettings& aOut)
{
  ObjectReader object(aReader);
  ReadNode(object, aOut.node);
  object.Required("registrationListen",
                  AddressField{ aOut.registrationListen, AddressUse::Listen });
  object.Required("workerAddress",
                  AddressField{ aOut.workerAddress, AddressUse::Connect });
  object.Finish();
}

namespace {

template<typename T>
CheckedResult<T>
DecodeChecked(std::string_view aText)
{
  T out;
  ErrorList errors;
  ReadDocument(aText, out, errors);
  if (!errors.IsEmpty()) {
    return boost::outcome_v2::failure(errors.Take());
  }
  return out;
}

} // namespace

CheckedResult<settings::EntrySettings>
DecodeEntrySettings(std::string_view aText)
{
  return DecodeChecked<settings::EntrySettings>(aText);
}

CheckedResult<settings::TargetSettings>
DecodeTargetSettings(std::string_view aText)
{
  return DecodeChecked<settings::TargetSettings>(aText);
}

CheckedResult<settings::SchedulerSettings>
DecodeSchedulerSettings(std::string_view aText)
{
  return DecodeChecked<settings::SchedulerSettings>(aText);
}

CheckedResult<settings::AgentSettings>
DecodeAgentSettings(std::string_view aText)
{
  return DecodeChecked<settings::AgentSettings>(aText);
}

} // namespace amaranthwind::codec
