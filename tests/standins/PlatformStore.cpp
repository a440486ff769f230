#include "standins/PlatformStore.h"

#include "amaranthwind/codec/Base64.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>

namespace amaranthwind::standins {

namespace json = boost::json;
using frontend::HttpRequest;
using frontend::HttpResponder;
using frontend::HttpResponse;

namespace {

constexpr std::size_t kPageItems = 500;
constexpr unsigned kBitsPerByte = 8;

HttpResponse
MakeResponse(std::uint16_t aStatus, const json::object& aBody = {})
{
  return { aStatus, "application/json", {}, json::serialize(aBody) };
}

std::uint64_t
ToNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::string
PercentDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      unsigned byte = 0;
      std::from_chars(aText.data() + i + 1, aText.data() + i + 3, byte, 16);
      decoded += static_cast<char>(byte);
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

std::string
PartitionName(const HttpRequest& aRequest)
{
  return PercentDecode(aRequest.QueryValue("topic")) + "#" +
         std::string(aRequest.QueryValue("part"));
}

void
AppendNumber(std::string& aOut, std::uint64_t aValue, unsigned aBytes)
{
  for (unsigned i = aBytes; i > 0; --i) {
    aOut += static_cast<char>(aValue >> ((i - 1) * kBitsPerByte));
  }
}

std::uint64_t
ConsumeNumber(std::string_view& aBytes, unsigned aCount)
{
  std::uint64_t value = 0;
  for (const char each : aBytes.substr(0, aCount)) {
    value = value << kBitsPerByte | static_cast<unsigned char>(each);
  }
  aBytes.remove_prefix(std::min<std::size_t>(aCount, aBytes.size()));
  return value;
}

} // namespace

PlatformStore::PlatformStore(net::IoPool& aPool)
  : pool(aPool)
{
}

void
PlatformStore::Handle(HttpRequest aRequest, HttpResponder aRespond)
{
  std::lock_guard lock(this->mutex);
  if (this->answerTime.count() == 0) {
    this->HandleNow(aRequest, aRespond);
  } else if (aRequest.path == "/api/log-append") {
    this->HandleAppendInTurn(std::move(aRequest), std::move(aRespond));
  } else {
    this->HandleNow(
      aRequest,
      [this, time = this->answerTime, respond = std::move(aRespond)](
        HttpResponse aResponse) {
        this->pool.RunAfter(time, [respond, response = std::move(aResponse)] {
          respond(response);
        });
      });
  }
}

void
PlatformStore::HandleAppendInTurn(HttpRequest aRequest, HttpResponder aRespond)
{
  constexpr auto kMaxQueueTime = std::chrono::seconds(2);
  const auto now = std::chrono::steady_clock::now();
  auto& busy = this->busyUntil[PartitionName(aRequest)];
  const auto start = std::max(now, busy);
  if (start - now > kMaxQueueTime) {
    ++this->appends.refused;
    this->pool.RunAfter(this->answerTime, [respond = std::move(aRespond)] {
      respond(MakeResponse(503));
    });
    return;
  }
  busy = start + this->answerTime;
  this->pool.RunAfter(
    busy - now,
    [this, request = std::move(aRequest), respond = std::move(aRespond)] {
      const std::lock_guard lock(this->mutex);
      this->HandleNow(request, respond);
    });
}

void
PlatformStore::HandleAppend(const HttpRequest& aRequest,
                            const HttpResponder& aRespond)
{
  auto response = this->Append(aRequest);
  if (this->mode != Mode::DropReplies) {
    aRespond(std::move(response));
  }
}

void
PlatformStore::HandleNow(const HttpRequest& aRequest,
                         const HttpResponder& aRespond)
{
  if (this->mode == Mode::Down) {
    aRespond(MakeResponse(503));
  } else if (aRequest.path == "/api/log-append") {
    this->HandleAppend(aRequest, aRespond);
  } else if (aRequest.path == "/api/log-read") {
    this->Read(aRequest, aRespond);
  } else if (aRequest.path == "/api/log-newest") {
    aRespond(this->Newest(aRequest));
  } else {
    aRespond(MakeResponse(404));
  }
}

void
PlatformStore::Put(const std::string& aTopic,
                   const std::string& aKey,
                   const std::string& aValue)
{
  std::lock_guard lock(this->mutex);
  const std::string name = aTopic + "#0";
  this->AddRecord(this->partitions[name], aKey, aValue);
  this->CompleteWaitingReads(name);
}

void
PlatformStore::SetMode(Mode aMode)
{
  std::lock_guard lock(this->mutex);
  this->mode = aMode;
}

void
PlatformStore::SetAnswerTime(std::chrono::milliseconds aTime)
{
  std::lock_guard lock(this->mutex);
  this->answerTime = aTime;
}

PlatformStore::AppendCounts
PlatformStore::Appends()
{
  std::lock_guard lock(this->mutex);
  return this->appends;
}

void
PlatformStore::Compact()
{
  std::lock_guard lock(this->mutex);
  for (auto& [name, partition] : this->partitions) {
    partition.first = partition.records.size();
  }
}

void
PlatformStore::AddRecord(Partition& aPartition,
                         std::string aKey,
                         std::string aValue)
{
  if (aValue.empty()) {
    aPartition.newest.erase(aKey);
  } else {
    aPartition.newest[aKey] = aPartition.records.size();
  }
  aPartition.records.emplace_back(std::move(aKey), std::move(aValue));
}

/** Whether the records of the body are within the limits of the pages. */
static bool
IsWithinLimits(std::string_view aBody)
{
  constexpr std::size_t kMaxRequestBytes = 2'097'152;
  constexpr std::size_t kMaxRecordBytes = 262'144;
  if (aBody.size() > kMaxRequestBytes) {
    return false;
  }
  while (!aBody.empty()) {
    const auto length = ConsumeNumber(aBody, 4);
    if (length > kMaxRecordBytes) {
      return false;
    }
    aBody.remove_prefix(std::min<std::size_t>(length, aBody.size()));
  }
  return true;
}

HttpResponse
PlatformStore::Append(const HttpRequest& aRequest)
{
  if (!IsWithinLimits(aRequest.body)) {
    return MakeResponse(413);
  }
  const std::string name = PartitionName(aRequest);
  Partition& partition = this->partitions[name];
  const std::uint64_t end = partition.records.size();
  const auto at = aRequest.QueryValue("at");
  if (!at.empty() && ToNumber(at) != end) {
    return MakeResponse(412, { { "end", end } });
  }
  const std::string producer(aRequest.QueryValue("producer"));
  if (!producer.empty()) {
    const std::uint64_t epoch = ToNumber(aRequest.QueryValue("epoch"));
    const std::uint64_t sequence = ToNumber(aRequest.QueryValue("sequence"));
    auto& lastAppend = partition.producers[producer];
    if (epoch < lastAppend.epoch) {
      return MakeResponse(409, { { "reason", "fenced" } });
    }
    if (epoch == lastAppend.epoch && sequence == lastAppend.sequence) {
      ++this->appends.repeated;
      return MakeResponse(200,
                          { { "offset", lastAppend.offset }, { "end", end } });
    }
    if (epoch == lastAppend.epoch && sequence != lastAppend.sequence + 1) {
      return MakeResponse(409, { { "reason", "seq" } });
    }
    lastAppend = { epoch, sequence, end };
  }
  ++this->appends.done;
  std::string_view body = aRequest.body;
  while (!body.empty()) {
    const auto length = ConsumeNumber(body, 4);
    std::string_view record = body.substr(0, length);
    body.remove_prefix(std::min<std::size_t>(length, body.size()));
    const auto keyLength = ConsumeNumber(record, 1);
    this->AddRecord(partition,
                    std::string(record.substr(0, keyLength)),
                    std::string(record.substr(keyLength)));
  }
  this->CompleteWaitingReads(name);
  return MakeResponse(
    200, { { "offset", end }, { "end", partition.records.size() } });
}

HttpResponse
PlatformStore::ReadNow(const Partition& aPartition, std::uint64_t aFrom)
{
  HttpResponse response;
  response.contentType = "application/octet-stream";
  AppendNumber(response.body, aPartition.records.size(), 8);
  AppendNumber(response.body, aPartition.first, 8);
  for (std::size_t i = aFrom; i < aPartition.records.size(); ++i) {
    const auto& [key, value] = aPartition.records[i];
    AppendNumber(response.body, 1 + key.size() + value.size(), 4);
    AppendNumber(response.body, key.size(), 1);
    response.body += key + value;
  }
  return response;
}

void
PlatformStore::Read(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  const std::string name = PartitionName(aRequest);
  const Partition& partition = this->partitions[name];
  const std::uint64_t from = ToNumber(aRequest.QueryValue("from"));
  const auto wait = ToNumber(aRequest.QueryValue("wait-ms"));
  if (from < partition.first) {
    aRespond(MakeResponse(410, { { "first", partition.first } }));
  } else if (from < partition.records.size() || wait == 0) {
    aRespond(ReadNow(partition, from));
  } else {
    const std::uint64_t id = ++this->lastReadId;
    this->waitingReads.push_back({ id, name, from, aRespond });
    this->pool.RunAfter(std::chrono::milliseconds(wait),
                        [this, id] { this->TimeOutRead(id); });
  }
}

void
PlatformStore::TimeOutRead(std::uint64_t aId)
{
  std::lock_guard lock(this->mutex);
  const auto found =
    std::find_if(this->waitingReads.begin(),
                 this->waitingReads.end(),
                 [&](const WaitingRead& aRead) { return aRead.id == aId; });
  if (found != this->waitingReads.end()) {
    found->respond(
      this->mode == Mode::Down
        ? MakeResponse(503)
        : ReadNow(this->partitions[found->partition], found->from));
    this->waitingReads.erase(found);
  }
}

void
PlatformStore::CompleteWaitingReads(const std::string& aPartition)
{
  std::erase_if(this->waitingReads, [&](const WaitingRead& aRead) {
    if (aRead.partition != aPartition) {
      return false;
    }
    aRead.respond(ReadNow(this->partitions[aPartition], aRead.from));
    return true;
  });
}

HttpResponse
PlatformStore::Newest(const HttpRequest& aRequest)
{
  const Partition& partition = this->partitions[PartitionName(aRequest)];
  const std::string after = PercentDecode(aRequest.QueryValue("depends-on"));
  json::array items;
  bool hasMore = false;
  for (auto position = partition.newest.upper_bound(after);
       position != partition.newest.end();
       ++position) {
    if (items.size() == kPageItems) {
      hasMore = true;
      break;
    }
    items.push_back(json::object{
      { "key", position->first },
      { "value", codec::ToBase64(partition.records[position->second].second) },
      { "offset", position->second } });
  }
  return MakeResponse(200,
                      { { "items", std::move(items) },
                        { "has-more", hasMore },
                        { "end", partition.records.size() } });
}

} // namespace amaranthwind::standins
