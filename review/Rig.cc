#include "Rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {

namespace {

const Clock::time_point kStart = Clock::now();
constexpr std::int64_t kAppendMs = 4;
/** A script may take 120 s. */
constexpr std::int64_t kMaxScriptMs = 115'000;
constexpr std::int64_t kHeartbeatMs = 1500;
/** A status report is acknowledged by an answer within this time. */
constexpr int kReportTimeoutMs = 1000;
/** Work items are looked at this often. */
constexpr std::int64_t kUpdateMs = 5;
constexpr std::size_t kMaxRecordBytes = 262144;
constexpr std::size_t kMaxRequestBytes = 2097152;
constexpr int kMaxPageItems = 500;
constexpr const char* kHost = "jobs.example";
constexpr const char* kPrefix = "/q/";
const std::string kKey = "key-of-tenant-";
constexpr const char* kService = "planner";

std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<Ms>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

Response
Reply(int aStatus, const json::object& aBody = {})
{
  return { aStatus, json::serialize(aBody) };
}

std::string
PercentDecode(const std::string& aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      out += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += aText[i];
    }
  }
  return out;
}

std::string
Base64(const std::string& aBytes)
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aBytes.size(); i += 3) {
    unsigned value = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      value = value << 8U |
              (i + j < aBytes.size() ? static_cast<unsigned char>(aBytes[i + j])
                                     : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j > aBytes.size() ? '=' : kDigits[value >> (18 - 6 * j) & 63U];
    }
  }
  return out;
}

void
AppendNumber(std::string& aOut, std::uint64_t aValue, int aBytes)
{
  for (int i = aBytes - 1; i >= 0; --i) {
    aOut += static_cast<char>(aValue >> (8 * i));
  }
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto count =
      ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/** Reads one message; the first line is in aFirst. False at the end. */
bool
ReadMessage(int aSocket,
            std::string& aBuffer,
            std::string& aFirst,
            std::map<std::string, std::string>& aHeaders,
            std::string& aBody)
{
  const auto more = [&] {
    char bytes[65536];
    const auto count = ::recv(aSocket, bytes, sizeof bytes, 0);
    if (count <= 0) {
      return false;
    }
    aBuffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  std::istringstream head(aBuffer.substr(0, end));
  aBuffer.erase(0, end + 4);
  std::getline(head, aFirst);
  if (!aFirst.empty() && aFirst.back() == '\r') {
    aFirst.pop_back();
  }
  aHeaders.clear();
  for (std::string line; std::getline(head, line);) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const auto first = line.find_first_not_of(' ', colon + 1);
    std::string value = first == std::string::npos ? "" : line.substr(first);
    while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) {
      value.pop_back();
    }
    aHeaders[name] = value;
  }
  const auto length = aHeaders.find("content-length");
  const std::size_t size =
    length == aHeaders.end() ? 0 : std::stoul(length->second);
  while (aBuffer.size() < size) {
    if (!more()) {
      return false;
    }
  }
  aBody = aBuffer.substr(0, size);
  aBuffer.erase(0, size);
  return true;
}

/** A loopback address of this process, so that scripts don't share ports. */
const std::string&
LoopbackIp()
{
  static const std::string kIp = [] {
    constexpr int kRange = 250;
    const int pid = ::getpid();
    return "127." + std::to_string(1 + pid / kRange / kRange % kRange) + "." +
           std::to_string(pid / kRange % kRange) + "." +
           std::to_string(1 + pid % kRange);
  }();
  return kIp;
}

sockaddr_in
ToAddress(const std::string& aText)
{
  const auto colon = aText.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aText.substr(colon + 1))));
  ::inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

std::string
BoundAddress(int aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size);
  return LoopbackIp() + ":" + std::to_string(ntohs(address.sin_port));
}

std::uint64_t
Number(const json::object& aObject, const char* aName)
{
  const auto* value = aObject.if_contains(aName);
  return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

std::string
Text(const json::object& aObject, const char* aName)
{
  const auto* value = aObject.if_contains(aName);
  return value == nullptr || !value->is_string()
           ? std::string()
           : std::string(value->as_string());
}

Behaviour
ToBehaviour(const std::string& aSpec)
{
  Behaviour behaviour;
  std::istringstream words(aSpec);
  for (std::string word; words >> word;) {
    const auto equals = word.find('=');
    if (equals == std::string::npos) {
      continue;
    }
    const std::string name = word.substr(0, equals);
    const std::int64_t value = std::stol(word.substr(equals + 1));
    if (name == "work") {
      behaviour.workMs = value;
    } else if (name == "spread") {
      behaviour.spreadMs = value;
    } else if (name == "gang") {
      behaviour.gang = static_cast<int>(value);
    } else if (name == "fail") {
      behaviour.failAtMs = value;
    }
  }
  return behaviour;
}

std::string
StepOf(const std::string& aTask)
{
  return aTask.substr(0, aTask.rfind('.'));
}

} // namespace

std::int64_t
Now()
{
  return std::chrono::duration_cast<Ms>(Clock::now() - kStart).count();
}

void
SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(Ms(aMs));
}

Record::Record(const std::string& aPath)
  : file(aPath)
{
}

void
Record::Write(const std::string& aLine)
{
  const std::lock_guard lock(this->mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(Now()) / 1000);
  this->file << time << aLine << std::endl;
}

// Sockets.

Server::Server(Handler aHandler)
  : handler(std::move(aHandler))
{
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = ToAddress(LoopbackIp() + ":0");
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0 ||
      ::listen(listener, 256) != 0) {
    throw std::runtime_error("cannot listen");
  }
  this->address = BoundAddress(listener);
  std::thread([this, listener] {
    while (true) {
      const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket >= 0) {
        std::thread([this, socket] { this->Serve(socket); }).detach();
      }
    }
  }).detach();
}

void
Server::Serve(int aSocket)
{
  const int on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string buffer;
  std::string first;
  Request request;
  while (ReadMessage(aSocket, buffer, first, request.headers, request.body)) {
    std::istringstream words(first);
    std::string target;
    words >> request.method >> target;
    const auto mark = std::min(target.find('?'), target.size());
    request.path = target.substr(0, mark);
    request.query.clear();
    std::istringstream query(target.substr(std::min(mark + 1, target.size())));
    for (std::string pair; std::getline(query, pair, '&');) {
      const auto equals = std::min(pair.find('='), pair.size());
      request.query[pair.substr(0, equals)] =
        PercentDecode(pair.substr(std::min(equals + 1, pair.size())));
    }
    const auto response = this->handler(request);
    if (!response) {
      continue;
    }
    std::ostringstream head;
    head << "HTTP/1.1 " << response->status
         << " X\r\nContent-Length: " << response->body.size()
         << "\r\nContent-Type: application/json\r\n\r\n";
    if (!SendAll(aSocket, head.str() + response->body)) {
      break;
    }
  }
  ::close(aSocket);
}

Response
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::vector<std::pair<std::string, std::string>>& aHeaders,
     const std::string& aBody,
     int aTimeoutMs)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval timeout{ aTimeoutMs / 1000, aTimeoutMs % 1000 * 1000 };
  ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  Response response;
  const sockaddr_in address = ToAddress(aAddress);
  if (::connect(socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0) {
    std::ostringstream head;
    head << aMethod << " " << aPath << " HTTP/1.1\r\n";
    for (const auto& [name, value] : aHeaders) {
      head << name << ": " << value << "\r\n";
    }
    head << "Content-Type: application/json\r\nContent-Length: " << aBody.size()
         << "\r\n\r\n";
    std::string buffer;
    std::string first;
    std::map<std::string, std::string> headers;
    if (SendAll(socket, head.str() + aBody) &&
        ReadMessage(socket, buffer, first, headers, response.body)) {
      response.status = std::stoi(first.substr(first.find(' ') + 1));
    }
  }
  ::close(socket);
  return response;
}

std::string
FreeAddress()
{
  // Kept open until all addresses are chosen would be safer, but the daemons
  // bind them right away; a taken port shows as a daemon that does not start.
  static std::set<std::string> given;
  while (true) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = ToAddress(LoopbackIp() + ":0");
    ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    const std::string text = BoundAddress(socket);
    ::close(socket);
    if (given.insert(text).second) {
      return text;
    }
  }
}

// The store.

Store::Store()
{
  this->server = std::make_unique<Server>(
    [this](const Request& aRequest) { return this->Handle(aRequest); });
}

Store::Partition&
Store::Find(const std::string& aTopic, const std::string& aPart)
{
  auto& partition = this->partitions[aTopic + "#" + aPart];
  if (partition == nullptr) {
    partition = std::make_unique<Partition>();
  }
  return *partition;
}

std::optional<Response>
Store::Handle(const Request& aRequest)
{
  if (this->isDown) {
    return Reply(503);
  }
  if (aRequest.path == "/api/log-append") {
    return this->Append(aRequest);
  }
  if (aRequest.path == "/api/log-read") {
    return this->Read(aRequest);
  }
  if (aRequest.path == "/api/log-newest") {
    return this->NewestPage(aRequest);
  }
  return Reply(404);
}

static std::string
QueryOf(const Request& aRequest, const char* aName)
{
  const auto found = aRequest.query.find(aName);
  return found == aRequest.query.end() ? std::string() : found->second;
}

Response
Store::Append(const Request& aRequest)
{
  Partition* partition = nullptr;
  {
    const std::lock_guard lock(this->mutex);
    partition =
      &this->Find(QueryOf(aRequest, "topic"), QueryOf(aRequest, "part"));
    this->largestAppend =
      std::max(this->largestAppend.load(), aRequest.body.size());
  }
  std::vector<std::pair<std::string, std::string>> records;
  std::size_t position = 0;
  std::size_t total = 0;
  while (position + 4 <= aRequest.body.size()) {
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i) {
      length =
        length << 8U | static_cast<unsigned char>(aRequest.body[position + i]);
    }
    position += 4;
    if (length > kMaxRecordBytes) {
      ++this->tooLarge;
      return Reply(413);
    }
    total += length;
    const std::string record = aRequest.body.substr(position, length);
    position += length;
    const std::size_t keyLength = static_cast<unsigned char>(record.at(0));
    records.emplace_back(record.substr(1, keyLength),
                         record.substr(1 + keyLength));
  }
  if (total > kMaxRequestBytes) {
    ++this->tooLarge;
    return Reply(413);
  }
  const std::lock_guard turn(partition->turn);
  SleepMs(kAppendMs);
  const std::lock_guard lock(this->mutex);
  const std::uint64_t end = partition->records.size();
  const std::string at = QueryOf(aRequest, "at");
  if (!at.empty() && std::stoull(at) != end) {
    return Reply(412, { { "end", end } });
  }
  const std::string name = QueryOf(aRequest, "producer");
  Producer* producer = nullptr;
  std::uint64_t sequence = 0;
  if (!name.empty()) {
    producer = &partition->producers[name];
    const std::uint64_t epoch = std::stoull(QueryOf(aRequest, "epoch"));
    sequence = std::stoull(QueryOf(aRequest, "sequence"));
    if (epoch < producer->epoch) {
      return Reply(409, { { "reason", "fenced" } });
    }
    if (epoch > producer->epoch) {
      *producer = { epoch, sequence - 1, {} };
    }
    const auto repeated = producer->responses.find(sequence);
    if (repeated != producer->responses.end()) {
      return { 200, repeated->second };
    }
    if (sequence != producer->sequence + 1) {
      return Reply(
        409, { { "reason", "seq" }, { "sequence", producer->sequence + 1 } });
    }
    producer->sequence = sequence;
  }
  for (auto& [key, value] : records) {
    if (value.empty()) {
      partition->newest.erase(key);
    } else {
      partition->newest[key] = partition->records.size();
    }
    partition->records.emplace_back(std::move(key), std::move(value));
  }
  Response response =
    Reply(200, { { "offset", end }, { "end", partition->records.size() } });
  if (producer != nullptr) {
    producer->responses[sequence] = response.body;
    while (producer->responses.size() > 5) {
      producer->responses.erase(producer->responses.begin());
    }
  }
  this->changed.notify_all();
  return response;
}

Response
Store::Read(const Request& aRequest)
{
  std::unique_lock lock(this->mutex);
  Partition& partition =
    this->Find(QueryOf(aRequest, "topic"), QueryOf(aRequest, "part"));
  const std::uint64_t from = std::stoull(QueryOf(aRequest, "from"));
  const std::string wait = QueryOf(aRequest, "wait-ms");
  const std::string limit = QueryOf(aRequest, "max-kb");
  if (!wait.empty()) {
    this->changed.wait_for(lock, Ms(std::stol(wait)), [&] {
      return from < partition.records.size();
    });
  }
  const std::size_t maxBytes =
    (limit.empty() ? 1024 : std::stoul(limit)) * 1024;
  Response response;
  response.status = 200;
  AppendNumber(response.body, partition.records.size(), 8);
  AppendNumber(response.body, 0, 8);
  for (std::size_t i = from; i < partition.records.size(); ++i) {
    const auto& [key, value] = partition.records[i];
    const std::size_t length = 1 + key.size() + value.size();
    if (i > from && response.body.size() + 4 + length > maxBytes) {
      break;
    }
    AppendNumber(response.body, length, 4);
    AppendNumber(response.body, key.size(), 1);
    response.body += key + value;
  }
  return response;
}

Response
Store::NewestPage(const Request& aRequest)
{
  const std::lock_guard lock(this->mutex);
  Partition& partition =
    this->Find(QueryOf(aRequest, "topic"), QueryOf(aRequest, "part"));
  json::array items;
  bool hasMore = false;
  std::size_t bytes = 0;
  for (auto each =
         partition.newest.upper_bound(QueryOf(aRequest, "depends-on"));
       each != partition.newest.end();
       ++each) {
    const std::string& value = partition.records[each->second].second;
    if (!items.empty() && (items.size() == kMaxPageItems ||
                           bytes + value.size() > 1024UL * 1024)) {
      hasMore = true;
      break;
    }
    bytes += value.size();
    items.push_back(json::object{ { "key", each->first },
                                  { "value", Base64(value) },
                                  { "offset", each->second } });
  }
  return Reply(200,
               { { "items", std::move(items) },
                 { "has-more", hasMore },
                 { "end", partition.records.size() } });
}

void
Store::Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue)
{
  const std::lock_guard lock(this->mutex);
  Partition& partition = this->Find(aTopic, "0");
  partition.newest[aKey] = partition.records.size();
  partition.records.emplace_back(aKey, aValue);
  this->changed.notify_all();
}

std::string
Store::Newest(const std::string& aTopic, int aPart, const std::string& aKey)
{
  const std::lock_guard lock(this->mutex);
  Partition& partition = this->Find(aTopic, std::to_string(aPart));
  const auto found = partition.newest.find(aKey);
  return found == partition.newest.end()
           ? std::string()
           : partition.records[found->second].second;
}

// Workers.

Fleet::Fleet(Record& aRecord)
  : record(aRecord)
{
  std::thread([this] {
    while (true) {
      SleepMs(5);
      const std::lock_guard lock(this->mutex);
      this->Update();
    }
  }).detach();
}

std::size_t
Fleet::Add(const std::string& aId,
           const std::string& aControl,
           const std::vector<std::string>& aLabels)
{
  const std::lock_guard lock(this->mutex);
  const std::size_t index = this->workers.size();
  auto worker = std::make_unique<Worker>();
  worker->index = index;
  worker->id = aId;
  worker->control = aControl;
  worker->labels = aLabels;
  worker->bornMs = UnixMs();
  worker->startedAt = Now();
  worker->server =
    std::make_unique<Server>([this, index](const Request& aRequest) {
      return this->Handle(index, aRequest);
    });
  this->workers.push_back(std::move(worker));
  return index;
}

std::string
Fleet::Address(std::size_t aWorker) const
{
  return this->workers[aWorker]->server->Address();
}

void
Fleet::Register(std::size_t aWorker)
{
  std::thread([this, aWorker] {
    while (true) {
      std::string control;
      std::string path;
      json::object body;
      {
        const std::lock_guard lock(this->mutex);
        Worker& worker = *this->workers[aWorker];
        control = worker.control;
        path = "/api/Instances.Heartbeat/" + worker.id;
        body = { { "service", kService },
                 { "address", worker.server->Address() },
                 { "zone", "z" },
                 { "version", "v1" },
                 { "slots", 8 },
                 { "state", "ready" },
                 { "cold-ms", 0 },
                 { "capacity",
                   { { "cpu", 64000 }, { "mem-mb", 262144 }, { "gpu", 8 } } },
                 { "labels",
                   json::array(worker.labels.begin(), worker.labels.end()) },
                 { "clock-ms", this->ClockOf(worker) },
                 { "born", worker.bornMs },
                 { "sequence", ++worker.sequence } };
      }
      Call(control,
           "POST",
           path,
           { { "Host", control } },
           json::serialize(body),
           kReportTimeoutMs);
      SleepMs(kHeartbeatMs);
    }
  }).detach();
}

std::vector<WorkerEvent>
Fleet::Events()
{
  const std::lock_guard lock(this->mutex);
  return this->events;
}

std::size_t
Fleet::Running()
{
  const std::lock_guard lock(this->mutex);
  std::size_t running = 0;
  for (const auto& worker : this->workers) {
    running += worker->running.size();
  }
  return running;
}

std::int64_t
Fleet::ClockOf(const Worker& aWorker) const
{
  return Now() - aWorker.startedAt;
}

Response
Fleet::Conflict(Worker& aWorker, const char* aReason)
{
  return Reply(
    409, { { "clock-ms", this->ClockOf(aWorker) }, { "reason", aReason } });
}

void
Fleet::Note(const Worker& aWorker,
            const std::string& aKind,
            const std::string& aTask,
            std::uint64_t aRun,
            const std::string& aCheckpoint)
{
  this->events.push_back(
    { Now(), aWorker.index, aKind, aTask, aRun, aCheckpoint });
  if (this->recordsRuns) {
    this->record.Write("worker " + aWorker.id + ": " + aKind + " " + aTask +
                       " run " + std::to_string(aRun) +
                       (aCheckpoint.empty() ? "" : " saved " + aCheckpoint));
  }
}

std::optional<Response>
Fleet::Handle(std::size_t aWorker, const Request& aRequest)
{
  std::unique_lock lock(this->mutex);
  Worker& worker = *this->workers[aWorker];
  this->Update();
  const auto target = aRequest.headers.find("target-instance");
  if (target != aRequest.headers.end() && target->second != worker.id) {
    return Reply(421);
  }
  json::object body;
  try {
    body = json::parse(aRequest.body).as_object();
  } catch (const std::exception&) {
    return Reply(400);
  }
  const std::uint64_t token = Number(body, "fencing-token");
  if (token < worker.token) {
    return this->Conflict(worker, "fence");
  }
  worker.token = token;
  if (body.contains("deadline-ms")) {
    const auto limit = this->ClockOf(worker) + this->limits.maxHoldMs;
    const auto deadline =
      static_cast<std::int64_t>(Number(body, "deadline-ms"));
    worker.leaseMs = std::max(worker.leaseMs, std::min(deadline, limit));
  }
  if (aRequest.path == "/api/run-start") {
    return this->Start(worker, body);
  }
  if (aRequest.path == "/api/run-stop") {
    return this->Stop(worker, body);
  }
  if (aRequest.path != "/api/hold") {
    return Reply(404);
  }
  const std::uint64_t seen = Number(body, "last-seen");
  worker.lastSeen = std::max(worker.lastSeen, seen);
  std::erase_if(worker.ended, [&](const End& aEnd) {
    if (aEnd.number > seen) {
      return false;
    }
    if (!aEnd.hasLapsed) {
      this->Note(worker, "noted " + aEnd.how, aEnd.task, aEnd.run, {});
    }
    return true;
  });
  const std::uint64_t lastEnd = worker.lastEnd;
  if (const auto wait = Number(body, "wait-ms");
      wait > 0 && worker.ended.empty()) {
    this->changed.wait_for(lock, Ms(std::min<std::uint64_t>(wait, 2000)), [&] {
      return worker.lastEnd > lastEnd;
    });
  }
  return this->List(worker);
}

Response
Fleet::Start(Worker& aWorker, const json::object& aBody)
{
  const std::string task = Text(aBody, "task");
  const std::uint64_t run = Number(aBody, "run-id");
  const auto found = aWorker.running.find(task);
  if (found != aWorker.running.end() && found->second.run == run) {
    return Reply(200, { { "clock-ms", this->ClockOf(aWorker) } });
  }
  const auto highest = aWorker.highest.find(task);
  if (found != aWorker.running.end() ||
      (highest != aWorker.highest.end() && run <= highest->second)) {
    return this->Conflict(aWorker, "old");
  }
  if (this->ClockOf(aWorker) >= aWorker.leaseMs) {
    return this->Conflict(aWorker, "late");
  }
  Run& started = aWorker.running[task];
  started.run = run;
  started.behaviour = ToBehaviour(Text(aBody, "spec"));
  if (started.behaviour.spreadMs > 0) {
    // Spreads neighbours apart; 619 and 1000 have no common divisor.
    const std::int64_t index = std::stol(task.substr(task.rfind('.') + 1));
    started.behaviour.workMs +=
      index * 619 % 1000 * started.behaviour.spreadMs / 1000;
  }
  started.startedAt = Now();
  started.lastUpdate = Now();
  started.checkpoint = Text(aBody, "checkpoint");
  this->Note(aWorker, "start", task, run, started.checkpoint);
  this->Update();
  return Reply(200, { { "clock-ms", this->ClockOf(aWorker) } });
}

Response
Fleet::Stop(Worker& aWorker, const json::object& aBody)
{
  const std::string task = Text(aBody, "task");
  const std::uint64_t run = Number(aBody, "run-id");
  const auto found = aWorker.running.find(task);
  if (found != aWorker.running.end() && found->second.run == run) {
    if (found->second.stopAt < 0) {
      found->second.stopAt = Now() + this->limits.stopMs;
    }
  } else {
    auto& highest = aWorker.highest[task];
    highest = std::max(highest, run);
  }
  return Reply(200, { { "clock-ms", this->ClockOf(aWorker) } });
}

Response
Fleet::List(Worker& aWorker)
{
  json::array running;
  for (const auto& [task, run] : aWorker.running) {
    const double share = run.behaviour.workMs > 0
                           ? 100 * std::max(0.0, run.done) /
                               static_cast<double>(run.behaviour.workMs)
                           : 100;
    running.push_back(json::array{
      task, run.run, run.checkpoint, static_cast<std::int64_t>(share), 0 });
  }
  json::array ended;
  for (const auto& end : aWorker.ended) {
    if (ended.size() == 500) {
      break;
    }
    ended.push_back(
      json::array{ end.number, end.task, end.run, end.how, end.checkpoint });
  }
  return Reply(200,
               { { "clock-ms", this->ClockOf(aWorker) },
                 { "born", aWorker.bornMs },
                 { "running", std::move(running) },
                 { "ended", std::move(ended) } });
}

void
Fleet::EndRun(Worker& aWorker, const std::string& aTask, const char* aHow)
{
  const auto found = aWorker.running.find(aTask);
  const Run run = found->second;
  aWorker.running.erase(found);
  auto& highest = aWorker.highest[aTask];
  highest = std::max(highest, run.run);
  aWorker.ended.push_back(
    { ++aWorker.lastEnd, aTask, run.run, aHow, run.checkpoint, false });
  this->Note(
    aWorker, std::string("end ") + aHow, aTask, run.run, run.checkpoint);
  this->changed.notify_all();
}

void
Fleet::BreakGang(const std::string& aStep, std::uint64_t aRun, const char* aHow)
{
  for (const auto& worker : this->workers) {
    std::vector<std::string> members;
    for (const auto& [task, run] : worker->running) {
      if (StepOf(task) == aStep && run.run == aRun) {
        members.push_back(task);
      }
    }
    for (const auto& task : members) {
      this->EndRun(*worker, task, aHow);
    }
  }
}

void
Fleet::Update()
{
  const std::int64_t now = Now();
  if (now < this->updatedAt + kUpdateMs) {
    return;
  }
  this->updatedAt = now;
  // Counts the members that are present.
  std::map<std::pair<std::string, std::uint64_t>, int> present;
  for (const auto& worker : this->workers) {
    for (const auto& [task, run] : worker->running) {
      if (run.behaviour.gang > 1) {
        ++present[{ StepOf(task), run.run }];
      }
    }
  }
  struct Ending
  {
    Worker* worker;
    std::string task;
    std::uint64_t run;
    int gang;
    const char* how;
  };
  std::vector<Ending> endings;
  for (const auto& worker : this->workers) {
    const bool hasLapsed = this->ClockOf(*worker) >= worker->leaseMs;
    for (auto& end : worker->ended) {
      end.hasLapsed = end.hasLapsed || hasLapsed;
    }
    for (auto& [task, run] : worker->running) {
      const int gang = run.behaviour.gang;
      const bool works =
        gang <= 1 || present[{ StepOf(task), run.run }] >= gang;
      if (works && run.workingSince < 0) {
        run.workingSince = now;
        run.lastUpdate = now;
      }
      if (run.workingSince >= 0) {
        run.done += static_cast<double>(now - run.lastUpdate);
        run.lastUpdate = now;
      }
      const char* how = nullptr;
      if (hasLapsed) {
        how = "lapsed";
      } else if (run.stopAt >= 0 && now >= run.stopAt) {
        how = "stopped";
      } else if (run.behaviour.failAtMs > 0 && run.run == 1 &&
                 run.done >= static_cast<double>(run.behaviour.failAtMs)) {
        how = "failed";
      } else if (run.done >= static_cast<double>(run.behaviour.workMs)) {
        how = "done";
      } else if (gang > 1 && run.workingSince < 0 &&
                 now - run.startedAt >= this->limits.gangTimeoutMs) {
        how = "alone";
      }
      if (how != nullptr) {
        endings.push_back({ worker.get(), task, run.run, gang, how });
      }
    }
  }
  // What is due now ends for its own cause; the other members break after it.
  for (const auto& each : endings) {
    this->EndRun(*each.worker, each.task, each.how);
  }
  for (const auto& each : endings) {
    const std::string how = each.how;
    if (each.gang > 1 && how != "alone") {
      this->BreakGang(
        StepOf(each.task), each.run, how == "done" ? "done" : "broken");
    }
  }
}

// Processes.

Daemon::Daemon(std::string aRole, std::string aSettings, std::string aLog)
  : role(std::move(aRole))
  , settings(std::move(aSettings))
  , log(std::move(aLog))
{
}

Daemon::~Daemon()
{
  this->Kill();
}

void
Daemon::Start()
{
  const pid_t parent = ::getpid();
  this->pid = ::fork();
  if (this->pid != 0) {
    return;
  }
  // A script that is killed leaves no daemon behind.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) {
    ::_exit(127);
  }
  const int out =
    ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(out, 1);
  ::dup2(out, 2);
  ::setenv("AMARANTHWIND_CONFIG", this->settings.c_str(), 1);
  const char* program = "target/apps/amaranthwindd/amaranthwindd";
  ::execl(program, program, this->role.c_str(), nullptr);
  ::_exit(127);
}

void
Daemon::Signal(int aSignal)
{
  if (this->pid > 0) {
    ::kill(this->pid, aSignal);
  }
}

void
Daemon::Kill()
{
  if (this->pid > 0) {
    ::kill(this->pid, SIGKILL);
    ::waitpid(this->pid, nullptr, 0);
    this->pid = -1;
  }
}

Deployment::Deployment(Record& aRecord,
                       std::size_t aSchedulers,
                       std::size_t aWorkers)
  : labels([](std::size_t aWorker) {
    return std::vector<std::string>{ "a", "r" + std::to_string(aWorker / 3) };
  })
  , record(aRecord)
  , fleet(aRecord)
  , workerCount(aWorkers)
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  this->folder = pattern;
  for (std::size_t i = 0; i < aSchedulers; ++i) {
    const std::string name = "edge-cali-norte-" + std::to_string(i + 1);
    this->clientAddresses.push_back(FreeAddress());
    this->readyAddresses.push_back(FreeAddress());
    const std::string path = this->folder + "/" + name + ".json";
    std::ofstream(path) << json::serialize(
      json::object{ { "id", name },
                    { "region", "r" },
                    { "zone", "z" },
                    { "innerListen", FreeAddress() },
                    { "adminListen", FreeAddress() },
                    { "clientListen", this->clientAddresses[i] },
                    { "readyListen", this->readyAddresses[i] },
                    { "logService", this->store.Address() },
                    { "maxLeaseMs", 6000 },
                    { "stopTimeMs", 900 },
                    { "revokeLimitMs", 5000 },
                    { "configurationLimitMs", 2000 },
                    { "cancelLimitMs", 3000 },
                    { "logFormat", "json" } });
    this->schedulers.push_back(std::make_unique<Daemon>(
      "scheduler", path, this->folder + "/" + name + ".log"));
  }
}

void
Deployment::End()
{
  for (auto& daemon : this->agents) {
    daemon->Kill();
  }
  for (auto& daemon : this->schedulers) {
    daemon->Kill();
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(this->folder);
  }
}

bool
Deployment::Start()
{
  json::object route{ { "name", "queue" },        { "host", kHost },
                      { "path-prefix", kPrefix }, { "service", kService },
                      { "priority", 1 },          { "max-attempts", 2 },
                      { "stretch", 3.0 },         { "slo-ms", 1000 },
                      { "timeout-ms", 3000 } };
  for (const auto& [name, value] : this->routeFields) {
    route[name] = value;
  }
  json::array tenants;
  for (std::size_t i = 0; i < this->guaranteed.size(); ++i) {
    tenants.push_back(
      json::object{ { "name", "tenant-" + std::to_string(i) },
                    { "api-keys", { kKey + std::to_string(i) } },
                    { "guaranteed", { { "gpu", this->guaranteed[i] } } } });
  }
  this->store.Put(
    "keyed.op",
    "config",
    json::serialize(json::object{
      { "version", 1 },
      { "routes", { route } },
      { "services",
        { { { "name", kService }, { "admission-control", false } } } },
      { "limits", json::object() },
      { "tenants", std::move(tenants) } }));
  for (std::size_t i = 0; i < this->workerCount; ++i) {
    const std::string name = "side-cali-norte-" + std::to_string(i + 1);
    const std::string control = FreeAddress();
    char id[32];
    std::snprintf(id, sizeof id, "i-7f3a91%02zx", i);
    this->fleet.Add(id, control, this->labels(i));
    const std::string path = this->folder + "/" + name + ".json";
    std::ofstream(path) << json::serialize(
      json::object{ { "id", name },
                    { "region", "r" },
                    { "zone", "z" },
                    { "adminListen", FreeAddress() },
                    { "registrationListen", control },
                    { "workerAddress", this->fleet.Address(i) },
                    { "logService", this->store.Address() },
                    { "maxLeaseMs", 6000 },
                    { "logFormat", "json" } });
    this->agents.push_back(std::make_unique<Daemon>(
      "agent", path, this->folder + "/" + name + ".log"));
  }
  for (auto& daemon : this->schedulers) {
    daemon->Start();
  }
  for (std::size_t i = 0; i < this->agents.size(); ++i) {
    this->agents[i]->Start();
    this->fleet.Register(i);
  }
  const std::int64_t end = Now() + 15'000;
  for (const auto& address : this->readyAddresses) {
    while (Call(address, "GET", "/api/ready", {}, {}, 500).status != 200) {
      if (Now() > end) {
        return false;
      }
      SleepMs(50);
    }
  }
  // The workers register within 1.5 s; traffic starts 10 s after the machines
  // on the users' sites.
  SleepMs(4000);
  this->record.Write("deployment is ready");
  return true;
}

Response
Deployment::Send(std::size_t aScheduler,
                 const std::string& aMethod,
                 const std::string& aId,
                 const std::string& aBody,
                 std::size_t aTenant)
{
  constexpr int kDeadlineMs = 3000;
  const Response response =
    Call(this->clientAddresses[aScheduler],
         aMethod,
         std::string(kPrefix) + aId,
         { { "Host", kHost },
           { "Api-Key", kKey + std::to_string(aTenant) },
           { "Deadline-Ms", std::to_string(kDeadlineMs) } },
         aBody,
         kDeadlineMs);
  this->record.Write("client: " + aMethod + " " + aId + " at scheduler " +
                     std::to_string(aScheduler + 1) + " -> " +
                     std::to_string(response.status) + " " +
                     response.body.substr(0, 100));
  return response;
}

bool
Deployment::Submit(std::size_t aScheduler,
                   const std::string& aId,
                   const std::string& aBody,
                   std::size_t aTenant)
{
  for (int i = 0; i < 5; ++i) {
    if (this->Send(aScheduler, "POST", aId, aBody, aTenant).status / 100 == 2) {
      return true;
    }
    SleepMs(300);
  }
  return false;
}

std::string
Deployment::State(std::size_t aScheduler, const std::string& aId)
{
  const Response response = this->Send(aScheduler, "GET", aId);
  if (response.status != 200) {
    return std::to_string(response.status);
  }
  return Text(json::parse(response.body).as_object(), "state");
}

int
Deployment::Waiting(std::size_t aScheduler)
{
  const Response response = this->Send(aScheduler, "GET", "");
  return response.status == 200
           ? static_cast<int>(
               Number(json::parse(response.body).as_object(), "waiting"))
           : -1;
}

int
Deployment::Leader()
{
  const std::string claim = this->store.Newest("keyed.leader", 0, "leader");
  for (std::size_t i = 0; i < this->schedulers.size(); ++i) {
    if (claim.find("\"edge-cali-norte-" + std::to_string(i + 1) + "\"") !=
        std::string::npos) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

std::string
JobId(unsigned aNumber)
{
  char text[32];
  std::snprintf(text, sizeof text, "5c0e7a21d94b%04x", aNumber);
  return text;
}

bool
IsCalm()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string_view(trouble) == "0";
}

void
RunScript(const std::string& aRecordPath,
          std::size_t aSchedulers,
          std::size_t aWorkers,
          const std::function<Result(Deployment&)>& aScript)
{
  Record record(aRecordPath);
  Deployment deployment(record, aSchedulers, aWorkers);
  // Ends a script that waits for something that never comes.
  std::thread([&] {
    SleepMs(kMaxScriptMs);
    record.Write("result: could not run (out of time)");
    deployment.End();
    std::_Exit(CouldNotRun);
  }).detach();
  Result result = CouldNotRun;
  try {
    result = aScript(deployment);
  } catch (const std::exception& error) {
    record.Write(std::string("script failed: ") + error.what());
  }
  record.Write(result == Held     ? "result: rule held"
               : result == Broken ? "result: rule broken"
                                  : "result: could not run");
  deployment.End();
  std::_Exit(result);
}

} // namespace rig
