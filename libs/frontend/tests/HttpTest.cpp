#include "amaranthwind/frontend/HttpClient.h"
#include "amaranthwind/frontend/HttpLogClient.h"
#include "amaranthwind/frontend/HttpServer.h"

#include "amaranthwind/net/ConnectionBudget.h"
#include "amaranthwind/net/IoPool.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <iterator>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::frontend;
using namespace std::chrono_literals;
using base::ErrorCode;

namespace {

constexpr base::Duration kTestTimeout = 20s;

/** Handles requests with a function that a test can replace. */
class FunctionHandler : public HttpHandler
{
public:
  void Handle(HttpRequest aRequest, HttpResponder aRespond) override
  {
    this->serve(std::move(aRequest), std::move(aRespond));
  }

  std::function<void(HttpRequest, HttpResponder)> serve =
    [](const HttpRequest& aRequest, const HttpResponder& aRespond) {
      HttpResponse response;
      response.body = aRequest.method + " " + aRequest.path + "?" +
                      aRequest.query + " " + aRequest.body;
      aRespond(std::move(response));
    };
};

struct Fixture
{
  explicit Fixture(const HttpServerOptions& aOptions = {})
    : server(pool, aOptions, handler)
    , address(server.Listen("127.0.0.1:0").value())
    , client(pool, { .address = address, .maxConnections = 4 })
  {
  }
  ~Fixture()
  {
    this->server.Stop();
    this->pool.Stop();
  }
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;

  net::IoPool pool{ 2 };
  FunctionHandler handler;
  HttpServer server;
  std::string address;
  HttpClient client;
};

/** A connection to a server that sends what the test says. */
struct RawClient
{
  explicit RawClient(std::string_view aAddress)
  {
    const auto colon = aAddress.rfind(':');
    const auto port = static_cast<std::uint16_t>(
      std::stoi(std::string(aAddress.substr(colon + 1))));
    this->socket.connect(
      { boost::asio::ip::make_address(aAddress.substr(0, colon)), port });
  }
  void Send(std::string_view aText)
  {
    boost::system::error_code ignored;
    boost::asio::write(this->socket, boost::asio::buffer(aText), ignored);
  }
  /** Nothing more is sent. */
  void Finish()
  {
    boost::system::error_code ignored;
    this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  }
  /** What the server sends until it closes the connection. */
  std::string ReadAll()
  {
    std::string text;
    boost::system::error_code ignored;
    boost::asio::read(this->socket, boost::asio::dynamic_buffer(text), ignored);
    return text;
  }

  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket{ context };
};

class RejectionCounter : public HttpServerObserver
{
public:
  void OnRejected(RejectionReason) override { ++this->count; }
  std::atomic<int> count{ 0 };
};

std::string
MakeHead(std::size_t aBodyBytes)
{
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(aBodyBytes) + "\r\n\r\n";
}

HttpRequest
MakePost(std::string_view aPath, std::string_view aBody)
{
  HttpRequest request;
  request.method = "POST";
  request.path = aPath;
  request.query = "a=1&b=2";
  request.body = aBody;
  return request;
}

} // namespace

TEST_CASE("the handler gets the complete request and the client its response")
{
  Fixture fixture;
  const auto result =
    fixture.client.SendAndWait(MakePost("/p", "body"), kTestTimeout);
  REQUIRE(result.response.has_value());
  CHECK(result.response.value().status == 200);
  CHECK(result.response.value().body == "POST /p?a=1&b=2 body");
}

TEST_CASE("headers are case-insensitive and query values are found by name")
{
  HttpRequest request = MakePost("/", "");
  request.headers.push_back({ "X-Caller", "c" });
  CHECK(request.Header("x-caller") == "c");
  CHECK(request.Header("x-call").empty());
  CHECK(request.QueryValue("b") == "2");
  CHECK(request.QueryValue("c").empty());
}

// Guards against responses matched to the wrong request on reused connections.
TEST_CASE("many requests over few connections each get their own response")
{
  constexpr int kRequests = 200;
  Fixture fixture;
  std::vector<std::promise<std::string>> answers(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    fixture.client.Send(MakePost("/", std::to_string(i)),
                        kTestTimeout,
                        [&, i](HttpResult aResult) {
                          answers[i].set_value(
                            aResult.response.has_value()
                              ? aResult.response.value().body
                              : base::Describe(aResult.response.error()));
                        });
  }
  for (int i = 0; i < kRequests; ++i) {
    CHECK(answers[i].get_future().get() ==
          "POST /?a=1&b=2 " + std::to_string(i));
  }
}

TEST_CASE("a body beyond the limit is rejected and the server keeps running")
{
  HttpServerOptions options;
  options.maxBodyBytes = 10;
  Fixture fixture(options);
  const auto large = fixture.client.SendAndWait(
    MakePost("/", std::string(11, 'x')), kTestTimeout);
  REQUIRE(large.response.has_value());
  CHECK(large.response.value().status == 413);
  CHECK(large.response.value().body ==
        R"({"error":"too-large","subject":"body","notRun":true})");
  const auto small =
    fixture.client.SendAndWait(MakePost("/", "x"), kTestTimeout);
  CHECK(small.response.value().status == 200);
}

// Guards against reporting "not run" for a request that was sent.
TEST_CASE("the client reports whether a failed request may have been sent")
{
  Fixture fixture;
  std::promise<HttpResponder> held;
  fixture.handler.serve = [&](const HttpRequest&, HttpResponder aRespond) {
    held.set_value(std::move(aRespond));
  };
  const auto late = fixture.client.SendAndWait(MakePost("/", ""), 50ms);
  REQUIRE(late.response.has_error());
  CHECK(late.response.error().code == ErrorCode::TimedOut);
  CHECK(late.mayHaveBeenSent);
  held.get_future().get()({});

  HttpClient nobody(fixture.pool, { .address = "127.0.0.1:1" });
  const auto refused = nobody.SendAndWait(MakePost("/", ""), kTestTimeout);
  REQUIRE(refused.response.has_error());
  CHECK(refused.response.error().code == ErrorCode::ConnectFailed);
  CHECK_FALSE(refused.mayHaveBeenSent);
}

// Guards against losing one request after another on idle connections that all
// went dead at the same time.
TEST_CASE("a timeout drops the connections that were idle at that time")
{
  Fixture fixture;
  std::mutex mutex;
  std::vector<HttpResponder> held;
  std::promise<void> bothReceived;
  fixture.handler.serve = [&](const HttpRequest&, HttpResponder aRespond) {
    std::lock_guard lock(mutex);
    held.push_back(std::move(aRespond));
    if (held.size() == 2) {
      bothReceived.set_value();
    }
  };
  std::vector<std::promise<void>> answered(2);
  for (auto& each : answered) {
    fixture.client.Send(
      MakePost("/", ""), kTestTimeout, [&](const auto&) { each.set_value(); });
  }
  bothReceived.get_future().get();
  for (auto& respond : held) {
    respond({});
  }
  held.clear();
  for (auto& each : answered) {
    each.get_future().get();
  }
  REQUIRE(fixture.server.Connections() == 2);
  fixture.handler.serve = [&](const HttpRequest&, HttpResponder aRespond) {
    std::lock_guard lock(mutex);
    held.push_back(std::move(aRespond));
  };
  const auto timedOut = fixture.client.SendAndWait(MakePost("/", ""), 50ms);
  REQUIRE(timedOut.response.has_error());
  CHECK(timedOut.response.error().code == ErrorCode::TimedOut);
  {
    std::lock_guard lock(mutex);
    held.clear();
  }
  // The idle connection is closed as well.
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (fixture.server.Connections() > 0 &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(1ms);
  }
  CHECK(fixture.server.Connections() == 0);
}

// Guards against large responses that always time out on a slow link before
// they are complete.
TEST_CASE("a response that keeps arriving may exceed the request timeout")
{
  namespace asio = boost::asio;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   { asio::ip::make_address("127.0.0.1"), 0 });
  constexpr auto kRequestTimeout = 1500ms;
  // Sends the second half of the response after the request timeout.
  std::thread server([&] {
    auto socket = acceptor.accept();
    std::array<char, 1024> request{};
    socket.read_some(asio::buffer(request));
    asio::write(socket,
                asio::buffer(std::string_view(
                  "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nfir")));
    std::this_thread::sleep_for(kRequestTimeout + 200ms);
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(std::string_view("sts")), ignored);
  });
  net::IoPool pool(1);
  const std::string address =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  HttpClientOptions options{ .address = address };
  SUBCASE("with a stall timeout")
  {
    options.stallTimeout = 20s;
  }
  SUBCASE("without a stall timeout") {}
  HttpClient client(pool, options);
  const auto result = client.SendAndWait(MakePost("/", ""), kRequestTimeout);
  server.join();
  if (options.stallTimeout > 0s) {
    REQUIRE(result.response.has_value());
    CHECK(result.response.value().body == "firsts");
  } else {
    REQUIRE(result.response.has_error());
    CHECK(result.response.error().code == ErrorCode::TimedOut);
  }
  pool.Stop();
}

// Guards against taking the client's own delay for that of the server: the I/O
// thread is busy until the request has timed out, and the server answers at
// once.
TEST_CASE("a request that is sent late still gets its response")
{
  static constexpr auto kTimeout = 200ms;
  Fixture fixture;
  net::IoPool busyPool(1);
  HttpClient client(busyPool, { .address = fixture.address });
  REQUIRE(
    client.SendAndWait(MakePost("/1", ""), kTestTimeout).response.has_value());
  busyPool.Post([] { std::this_thread::sleep_for(kTimeout * 2); });
  CHECK(client.SendAndWait(MakePost("/2", ""), kTimeout).response.has_value());
  busyPool.Stop();
}

TEST_CASE("a request whose response is overdue is sent again")
{
  constexpr auto kRepeatAfter = 100ms;
  Fixture fixture;
  std::mutex mutex;
  std::vector<HttpResponder> held;
  std::size_t heldRequests = 1;
  SUBCASE("and the second response counts") {}
  SUBCASE("and a response to the first attempt counts as well")
  {
    heldRequests = 2;
  }
  fixture.handler.serve = [&](const HttpRequest&, HttpResponder aRespond) {
    const std::lock_guard lock(mutex);
    held.push_back(std::move(aRespond));
    if (held.size() > heldRequests) {
      held.back()(HttpResponse());
    } else if (held.size() == 2) {
      held.front()(HttpResponse());
    }
  };
  std::promise<HttpResult> promise;
  fixture.client.SendRepeatedly(
    MakePost("/", ""),
    { .timeout = kTestTimeout, .repeatAfter = kRepeatAfter },
    [&](HttpResult aResult) { promise.set_value(std::move(aResult)); });
  CHECK(promise.get_future().get().response.has_value());
  const std::lock_guard lock(mutex);
  CHECK(held.size() == 2);
}

// Guards against waiting for a silent connection when the server is known to
// refuse requests.
TEST_CASE("the failure of the latest attempt ends a repeated request")
{
  Fixture fixture;
  std::atomic<int> requests = 0;
  fixture.handler.serve = [&](const HttpRequest&, const HttpResponder&) {
    if (++requests == 2) {
      fixture.pool.Post([&] { fixture.server.Stop(); });
    }
  };
  std::promise<HttpResult> promise;
  fixture.client.SendRepeatedly(
    MakePost("/", ""),
    { .timeout = kTestTimeout, .repeatAfter = 100ms, .maxAttempts = 2 },
    [&](HttpResult aResult) { promise.set_value(std::move(aResult)); });
  CHECK(promise.get_future().get().response.has_error());
}

// Guards against dropping a response that passes a slow link because all
// attempts are overdue.
TEST_CASE("a repeated request waits for a response that is arriving")
{
  namespace asio = boost::asio;
  constexpr auto kRepeatAfter = 700ms;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   { asio::ip::make_address("127.0.0.1"), 0 });
  // Sends the second half of the response when the last attempt is overdue.
  std::thread server([&] {
    auto socket = acceptor.accept();
    std::array<char, 1024> request{};
    socket.read_some(asio::buffer(request));
    asio::write(socket,
                asio::buffer(std::string_view(
                  "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nfir")));
    std::this_thread::sleep_for(kRepeatAfter * 2);
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(std::string_view("sts")), ignored);
  });
  net::IoPool pool(1);
  HttpClient client(
    pool,
    { .address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) });
  std::promise<HttpResult> promise;
  client.SendRepeatedly(
    MakePost("/", ""),
    { .timeout = kTestTimeout, .repeatAfter = kRepeatAfter, .maxAttempts = 1 },
    [&](HttpResult aResult) { promise.set_value(std::move(aResult)); });
  const auto result = promise.get_future().get();
  server.join();
  REQUIRE(result.response.has_value());
  CHECK(result.response.value().body == "firsts");
  CHECK(result.elapsed >= kRepeatAfter);
  pool.Stop();
}

// Guards against a planned stop that interrupts a request in flight.
TEST_CASE("a draining server finishes its requests and closes the connection")
{
  Fixture fixture;
  std::promise<HttpResponder> held;
  fixture.handler.serve = [&](const HttpRequest&, HttpResponder aRespond) {
    held.set_value(std::move(aRespond));
  };
  std::promise<HttpResult> answer;
  fixture.client.Send(MakePost("/", ""), kTestTimeout, [&](HttpResult aResult) {
    answer.set_value(std::move(aResult));
  });
  const auto respond = held.get_future().get();
  CHECK(fixture.server.ActiveRequests() == 1);
  fixture.server.StartDraining();
  fixture.server.StopAccepting();
  respond({});
  const auto result = answer.get_future().get();
  REQUIRE(result.response.has_value());
  HttpRequest headerLookup;
  headerLookup.headers = result.response.value().headers;
  CHECK(headerLookup.Header("Connection") == "close");
}

TEST_CASE("the log client maps each response of the service to a typed result")
{
  struct Case
  {
    std::uint16_t status;
    std::string body;
    ErrorCode append;
    ErrorCode read;
    std::string readSubject;
  };
  const std::vector<Case> cases{
    { 500,
      "",
      ErrorCode::AppendUnconfirmed,
      ErrorCode::LogUnavailable,
      "status 500" },
    { 503,
      "",
      ErrorCode::LogUnavailable,
      ErrorCode::LogUnavailable,
      "status 503" },
    { 413, "", ErrorCode::TooLarge, ErrorCode::LogUnavailable, "status 413" },
    { 410,
      R"({"first":7})",
      ErrorCode::LogUnavailable,
      ErrorCode::OffsetExpired,
      "7" },
    { 416, "", ErrorCode::LogUnavailable, ErrorCode::OffsetInvalid, "3" },
    { 200,
      "no json",
      ErrorCode::AppendUnconfirmed,
      ErrorCode::Malformed,
      "log service: answer" },
    { 200,
      R"({"first":0,"end":"x"})",
      ErrorCode::AppendUnconfirmed,
      ErrorCode::Malformed,
      "log service: end" },
    { 200,
      R"({"first":0,"end":1,"records":[{"offset":0}]})",
      ErrorCode::AppendUnconfirmed,
      ErrorCode::Malformed,
      "log service: payload" },
  };
  Fixture fixture;
  HttpLogClient log(fixture.pool, { .address = fixture.address });
  for (const auto& each : cases) {
    CAPTURE(each.status);
    CAPTURE(each.body);
    fixture.handler.serve = [&](const HttpRequest&,
                                const HttpResponder& aRespond) {
      aRespond({ each.status, "application/json", {}, each.body });
    };
    const auto appended = log.Append("notes", {});
    REQUIRE(appended.has_error());
    CHECK(appended.error().code == each.append);
    const auto read = log.Read("notes", base::LogOffset(3), 10);
    REQUIRE(read.has_error());
    CHECK(read.error().code == each.read);
    CHECK(read.error().subject == each.readSubject);
  }
}

// Guards against a writer that treats a lost response as a failed append.
TEST_CASE("an append without a response is unconfirmed, not unavailable")
{
  Fixture fixture;
  fixture.handler.serve = [&](const HttpRequest&, const HttpResponder&) {};
  HttpLogClient log(fixture.pool,
                    { .address = fixture.address, .timeout = 50ms });
  const auto lost = log.Append("notes", {});
  REQUIRE(lost.has_error());
  CHECK(lost.error().code == ErrorCode::AppendUnconfirmed);

  HttpLogClient down(fixture.pool, { .address = "127.0.0.1:1" });
  const auto refused = down.Append("notes", {});
  REQUIRE(refused.has_error());
  CHECK(refused.error().code == ErrorCode::LogUnavailable);
}

// Guards against a process that keeps the trailers or chunk extensions of a
// response until their end, which never comes.
TEST_CASE("a response without end is given up")
{
  std::string rest;
  SUBCASE("with trailers")
  {
    rest = "0\r\n";
  }
  SUBCASE("with chunk extensions")
  {
    rest = "5;a=";
  }
  SUBCASE("with headers")
  {
    rest.clear();
  }
  const std::string head =
    rest.empty() ? "HTTP/1.1 200 OK\r\n"
                 : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t kSentBytes = std::size_t{ 8 } * 1024 * 1024;
  namespace asio = boost::asio;
  using asio::ip::tcp;
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  std::atomic<std::size_t> sent{ 0 };
  std::thread server([&] {
    tcp::socket socket(context);
    acceptor.accept(socket);
    boost::system::error_code error;
    asio::write(socket, asio::buffer(head + rest), error);
    const std::string line = "X-Field: value\r\n";
    while (!error && sent.load() < kSentBytes) {
      sent += asio::write(socket, asio::buffer(line), error);
    }
  });
  net::IoPool pool(1);
  {
    HttpClient client(
      pool,
      { .address =
          "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()) });
    const auto result = client.SendAndWait(MakePost("/", ""), kTestTimeout);
    CHECK(result.response.has_error());
    CHECK(result.mayHaveBeenSent);
    CHECK(sent.load() < kSentBytes);
  }
  server.join();
  pool.Stop();
}

// Guards against a wrong refusal of a request that is inside the limits, only
// divided in an unusual way.
TEST_CASE("a body in chunks of one byte with trailers is served")
{
  Fixture fixture({ .maxBodyBytes = 4096 });
  namespace asio = boost::asio;
  using asio::ip::tcp;
  std::string text = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 4096; ++i) {
    text += "1\r\nx\r\n";
  }
  text += "0\r\nX-Trailer: value\r\n\r\n";
  asio::io_context context;
  tcp::socket socket(context);
  const auto port = static_cast<std::uint16_t>(
    std::stoi(fixture.address.substr(fixture.address.rfind(':') + 1)));
  socket.connect({ asio::ip::make_address("127.0.0.1"), port });
  asio::write(socket, asio::buffer(text));
  std::string response;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(response), error);
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.ends_with(std::string(4096, 'x')));
}

// Guards against closing all incomplete requests because the bytes of the first
// one that is closed are still counted.
TEST_CASE("no more connections are closed than the budget asks for")
{
  constexpr std::size_t kBodyBytes = 110'000;
  constexpr std::size_t kSentBytes = 100'000;
  RejectionCounter rejections;
  Fixture fixture({ .maxBufferedBytes = 450'000, .observer = &rejections });
  std::list<RawClient> clients;
  for (int i = 0; i < 5; ++i) {
    clients.emplace_back(fixture.address);
    clients.back().Send(MakeHead(kBodyBytes) + std::string(kSentBytes, 'x'));
  }
  // The one that is longest without a complete request.
  CHECK(clients.front().ReadAll().empty());
  // The others complete theirs.
  for (auto client = std::next(clients.begin()); client != clients.end();
       ++client) {
    client->Send(std::string(kBodyBytes - kSentBytes, 'x'));
    client->Finish();
    CHECK(client->ReadAll().starts_with("HTTP/1.1 200"));
  }
  CHECK(rejections.count.load() == 1);
}

// Guards against a connection that is reset while its client still sends, so
// that the client never reads why it was refused.
TEST_CASE("a refusal reaches a client that still sends")
{
  Fixture fixture({ .maxBodyBytes = 4096 });
  constexpr std::size_t kBodyBytes = std::size_t{ 600 } * 1024;
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    RawClient client(fixture.address);
    client.Send(MakeHead(kBodyBytes) + std::string(kBodyBytes, 'x'));
    client.Finish();
    CHECK(client.ReadAll().starts_with("HTTP/1.1 413"));
  }
}

// Guards against complete requests that exceed the memory together while their
// answers wait, and against a wrong claim about the one that is refused.
TEST_CASE("requests beyond what may be handled at once are refused")
{
  Fixture fixture(
    { .budget = std::make_shared<net::ConnectionBudget>(
        net::ConnectionBudgetOptions{ .maxHandledBytes = 5000 }) });
  std::mutex mutex;
  std::vector<HttpResponder> waiting;
  fixture.handler.serve = [&](const HttpRequest&,
                              const HttpResponder& aRespond) {
    const std::lock_guard lock(mutex);
    waiting.push_back(aRespond);
  };
  const std::string body(2000, 'x');
  std::array<std::promise<HttpResult>, 3> results;
  for (auto& each : results) {
    fixture.client.Send(
      MakePost("/", body), kTestTimeout, [&](const HttpResult& aResult) {
        each.set_value(aResult);
      });
  }
  // One of them is refused at once, the others are answered later.
  int refused = 0;
  int served = 0;
  std::array<std::future<HttpResult>, 3> futures;
  for (std::size_t i = 0; i < results.size(); ++i) {
    futures[i] = results[i].get_future();
  }
  const auto count = [&] {
    const std::lock_guard lock(mutex);
    return waiting.size();
  };
  while (count() < 2) {
    std::this_thread::sleep_for(1ms);
  }
  while (std::none_of(futures.begin(), futures.end(), [](auto& aFuture) {
    return aFuture.wait_for(0s) == std::future_status::ready;
  })) {
    std::this_thread::sleep_for(1ms);
  }
  for (const auto& respond : waiting) {
    respond({});
  }
  for (auto& future : futures) {
    const HttpResult result = future.get();
    REQUIRE(result.response.has_value());
    const HttpResponse& response = result.response.value();
    served += response.status == 200 ? 1 : 0;
    if (response.status == 503) {
      ++refused;
      CHECK(std::any_of(response.headers.begin(),
                        response.headers.end(),
                        [](const HttpHeader& aHeader) {
                          return aHeader.name == "Retry-After" &&
                                 aHeader.value == "1";
                        }));
      CHECK(response.body.find(R"("notRun":true)") != std::string::npos);
    }
  }
  CHECK(served == 2);
  CHECK(refused == 1);
}
