#include <catch2/catch.hpp>
#include <future>

#include "tests/standins/platform_server.h"
#include "tests/standins/target_server.h"

namespace pistachio {
namespace {

using standins::PlatformServer;
using standins::TargetServer;

StoreReply CallAndWait(KeyValueService& service, const StoreCall& call) {
  auto promise = std::make_shared<std::promise<StoreReply>>();
  auto reply = promise->get_future();
  CallStoreService(service, call, [promise](const StoreReply& got) { promise->set_value(got); });
  return reply.get();
}

void Control(HttpClient& client, const ListenAddress& address, const WireJson& body) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + address.str() + "/control";
  call.body = body.dump();
  REQUIRE(client.SendAndWait(call).status == 200);
}

TargetListing ListingOfOne() {
  TargetListing listing;
  listing.target = TargetId("t1");
  listing.rack = RackId("r1");
  listing.capacity = Resources{4000, 4096, 0};
  listing.slots = 2;
  return listing;
}

TEST_CASE("the store over HTTP keeps binary values and tells conflicts", "[platform]") {
  PlatformServer platform(BootClock{}, Duration(0));
  const auto address = platform.Listen(ListenAddress{});
  HttpClient client;
  KeyValueService service = HttpKeyValueService("http://" + address->str(), client);
  const std::string binary("\x00\xff\x80z", 4);
  REQUIRE(CallAndWait(service, CompareAndSwapCall{"k", 0, binary}).status == StoreStatus::kOk);
  REQUIRE(CallAndWait(service, GetCall{"k"}).entries.at(0).value == binary);
  REQUIRE(CallAndWait(service, CompareAndSwapCall{"k", 0, "x"}).status == StoreStatus::kConflict);
}

TEST_CASE("a store that is down is unavailable", "[platform]") {
  PlatformServer platform(BootClock{}, Duration(0));
  const auto address = platform.Listen(ListenAddress{});
  HttpClient client;
  KeyValueService service = HttpKeyValueService("http://" + address->str(), client);
  Control(client, *address, {{"down", true}});
  REQUIRE(CallAndWait(service, CompareAndSwapCall{"k", 0, "a"}).status ==
          StoreStatus::kUnavailable);
}

TEST_CASE("a target runs a task, renews it and reports its end", "[platform]") {
  ManualClock manual;
  standins::TargetModel model(ListingOfOne(), 1);
  StartCommand start;
  start.task = TaskId{JobId("j"), 0};
  start.spec.expected_run = std::chrono::seconds(20);
  start.lease_term = std::chrono::seconds(10);
  REQUIRE(model.Handle(1, start, manual.Now()).status == CommandStatus::kDone);
  manual.Advance(std::chrono::seconds(9));
  RenewCommand renew{{{start.task, 1}}, std::chrono::seconds(12)};
  model.Handle(1, renew, manual.Now());
  manual.Advance(std::chrono::seconds(11));
  const CommandAnswer answer = model.Handle(1, RenewCommand{}, manual.Now());
  REQUIRE(answer.report->tasks.at(0).state == TargetTaskState::kFinished);
}

TEST_CASE("a target stops a task whose lease ran out and refuses its attempt again", "[platform]") {
  ManualClock manual;
  standins::TargetModel model(ListingOfOne(), 1);
  StartCommand start;
  start.task = TaskId{JobId("j"), 0};
  start.spec.expected_run = std::chrono::seconds(20);
  start.lease_term = std::chrono::seconds(10);
  model.Handle(1, start, manual.Now());
  manual.Advance(std::chrono::seconds(10));
  const CommandAnswer answer = model.Handle(1, RenewCommand{}, manual.Now());
  REQUIRE(answer.report->tasks.at(0).state == TargetTaskState::kStopped);
  model.Handle(1, ForgetCommand{start.task, 1}, manual.Now());
  REQUIRE(model.Handle(1, start, manual.Now()).status == CommandStatus::kRefused);
  REQUIRE(model.Handle(0, RenewCommand{}, manual.Now()).status == CommandStatus::kRefused);
}

TEST_CASE("a target without the service says that it ran nothing", "[platform]") {
  TargetServer target(ListingOfOne(), BootClock{});
  const auto address = target.Listen(ListenAddress{});
  HttpClient client;
  TargetRequest request;
  request.address = address->str();
  request.service = ServiceId("alarms");
  request.time_left = std::chrono::seconds(2);
  auto promise = std::make_shared<std::promise<TargetAnswer>>();
  SendRequestToTarget(client, request,
                      [promise](const TargetAnswer& got) { promise->set_value(got); });
  REQUIRE(promise->get_future().get().failure == AttemptFailure::kRefused);
}

TEST_CASE("a target answers a request of a service that runs there", "[platform]") {
  TargetServer target(ListingOfOne(), BootClock{});
  const auto address = target.Listen(ListenAddress{});
  HttpClient client;
  TargetClient commands(client);
  StartCommand start;
  start.task = TaskId{JobId("alarms"), 0};
  start.spec.kind = WorkKind::kService;
  start.spec.service = ServiceId("alarms");
  start.lease_term = std::chrono::seconds(60);
  auto started = std::make_shared<std::promise<CommandAnswer>>();
  commands.SendCommand(address->str(), 1, start, std::chrono::seconds(2),
                       [started](const CommandAnswer& got) { started->set_value(got); });
  REQUIRE(started->get_future().get().status == CommandStatus::kDone);
  TargetRequest request;
  request.address = address->str();
  request.service = ServiceId("alarms");
  request.body = "reading";
  request.time_left = std::chrono::seconds(2);
  auto promise = std::make_shared<std::promise<TargetAnswer>>();
  SendRequestToTarget(client, request,
                      [promise](const TargetAnswer& got) { promise->set_value(got); });
  const TargetAnswer answer = promise->get_future().get();
  REQUIRE_FALSE(answer.failure);
  REQUIRE(ReadJson(answer.body)->at("echo") == "reading");
}

}  // namespace
}  // namespace pistachio
