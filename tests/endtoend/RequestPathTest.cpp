#include "harness/Deployment.h"

#include <doctest/doctest.h>

#include <boost/json.hpp>

using namespace amaranthwind;
using harness::Deployment;

namespace {

constexpr std::string_view kNote = R"({
  "base": 0,
  "changes": [
    { "putKind": { "id": "quote-check", "class": "request", "idempotent": true } },
    { "putKind": { "id": "reservation", "class": "request", "idempotent": false } },
    { "putAccount": { "id": "lamps" } }
  ]
})";

} // namespace

// Guards against a break in the request path between separate processes.
TEST_CASE("a short request goes through an entry to an executor and back")
{
  Deployment deployment({ .entries = 2, .executors = 2, .workers = 0 });
  REQUIRE(deployment.Start());
  const auto published = deployment.PublishNote(kNote);
  CAPTURE(published.output);
  REQUIRE(published.exit == 0);
  for (const auto& entry : deployment.entries) {
    CAPTURE(entry.name);
    REQUIRE(Deployment::WaitUntil([&] {
      const auto result = deployment.Send(
        entry.http, Deployment::MakeRequest("lamps", "quote-check", "{}"));
      return result.response.has_value() &&
             result.response.value().status == 200;
    }));
    const auto reservation = deployment.Send(
      entry.http,
      Deployment::MakeRequest("lamps", "reservation", "{\"m\":1}", "key-1"));
    REQUIRE(reservation.response.has_value());
    CHECK(reservation.response.value().status == 200);
  }
  // Both entries got the same idempotency key, so the reservation ran once.
  std::size_t runs = 0;
  for (const auto& executor : deployment.executors) {
    const auto list = deployment.Get(executor.http, "/runs");
    const auto counts = boost::json::parse(list.response.value().body);
    if (const auto* count = counts.as_object().if_contains("{\"m\":1}")) {
      runs += count->to_number<std::size_t>();
    }
  }
  CHECK(runs == 1);
}
