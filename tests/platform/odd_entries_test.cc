#include <catch2/catch.hpp>

#include "pistachio/process/scheduling/record_codec.h"
#include "pistachio/process/scheduling/submission.h"
#include "platform/documents.h"
#include "platform/store_wire.h"
#include "platform/target_wire.h"

namespace pistachio::platform {
namespace {

/// Returns the entry of a usable target with \a from replaced by \a to.
std::optional<TargetEntry> DecodeChanged(const std::string& from, const std::string& to) {
  std::string text =
      R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":8,"state":"ready",)"
      R"("sequence":4,"coldRemainingMs":5,"drainRemainingMs":0,)"
      R"("room":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a"],"born":12})";
  text.replace(text.find(from), from.size(), to);
  return DecodeTarget("servers/i-1", text);
}

std::string Nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

// A host that probes such a target before it takes a cell never takes the cell.
TEST_CASE("an entry with a port that no target can have names no target", "[odd_entries]") {
  REQUIRE(DecodeChanged(":8080", ":65535"));
  for (const char* port :
       {":0", ":00000", ":65536", ":99999999999", ":-1", ":+80", ":8e2", ": 80", ":", ""}) {
    INFO(port);
    CHECK_FALSE(DecodeChanged(":8080", port));
  }
}

TEST_CASE("an entry that is nested too deep names no target", "[odd_entries]") {
  REQUIRE(DecodeChanged(R"("slots":8)", R"("slots":8,"more":)" + Nested(15)));
  for (const std::size_t depth : {16U, 100U, 100000U}) {
    INFO(depth);
    CHECK_FALSE(DecodeChanged(R"("slots":8)", R"("slots":8,"more":)" + Nested(depth)));
  }
}

TEST_CASE("an entry with a number too large names no target", "[odd_entries]") {
  for (const char* number :
       {"1e999", "1e300", "-1e300", "99999999999999999999999", "\"9\"", "[]"}) {
    INFO(number);
    const std::string text = number;
    CHECK_FALSE(DecodeChanged(R"("slots":8)", R"("slots":)" + text));
    CHECK_FALSE(DecodeChanged(R"("sequence":4)", R"("sequence":)" + text));
    CHECK_FALSE(DecodeChanged(R"("born":12)", R"("born":)" + text));
    CHECK_FALSE(DecodeChanged(R"("cpu":16000)", R"("cpu":)" + text));
    CHECK_FALSE(DecodeChanged(R"("coldRemainingMs":5)", R"("coldRemainingMs":)" + text));
    CHECK_FALSE(DecodeChanged(R"("drainRemainingMs":0)", R"("drainRemainingMs":)" + text));
  }
  // No later life of the target would count as later than this one.
  CHECK_FALSE(DecodeChanged(R"("born":12)", R"("born":18446744073709551615)"));
  CHECK_FALSE(DecodeChanged(R"("born":12)", R"("born":-1)"));
  CHECK_FALSE(DecodeChanged(R"("cpu":16000)", R"("cpu":999999999999)"));
  CHECK(DecodeChanged(R"(,"born":12)", ""));
  CHECK(DecodeChanged(R"("born":12)", R"("born":12.0)")->incarnation == 12);
  CHECK(DecodeChanged(R"("sequence":4)", R"("sequence":18446744073709551615)"));
  CHECK(DecodeChanged(R"("coldRemainingMs":5)", R"("coldRemainingMs":4.5)"));
}

TEST_CASE("a route's number out of range takes the nearest value in range or its default",
          "[odd_entries]") {
  const auto queue_with = [](const std::string& fields) {
    const auto configuration = DecodeConfiguration(
        R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/","service":"s",)" + fields +
        R"(},{"name":"q","host":"h","prefix":"/b/","service":"s","priority":3}]})");
    REQUIRE(configuration);
    REQUIRE(configuration->queues.size() == 2);
    REQUIRE(configuration->queues[1].priority == 3);
    return configuration->queues[0];
  };
  const QueueSettings large =
      queue_with(R"("priority":1e300,"maxAttempts":4294967297,"stretch":1e300,"timeoutMs":1e300)");
  CHECK(large.priority == std::numeric_limits<std::int32_t>::max());
  CHECK(large.max_attempts == std::numeric_limits<std::uint32_t>::max());
  CHECK(large.answer_timeout.count() == 4000000000000000);
  const QueueSettings negative = queue_with(
      R"("priority":-1e300,"maxAttempts":-1,"stretch":-2,"timeoutMs":-5,"targetDurationMs":-1e300)");
  CHECK(negative.priority == std::numeric_limits<std::int32_t>::min());
  CHECK(negative.max_attempts == 1);
  CHECK(negative.stretch == 0.0);
  CHECK(negative.answer_timeout.count() == 3000);
  CHECK(negative.objective_slack.count() == 0);
  const QueueSettings other_types =
      queue_with(R"("priority":"1","maxAttempts":[],"stretch":{},"timeoutMs":null)");
  CHECK(other_types.priority == 0);
  CHECK(other_types.max_attempts == 1);
  CHECK(other_types.stretch == 1.0);
  CHECK(other_types.answer_timeout.count() == 3000);
  const QueueSettings fractions = queue_with(R"("priority":1.5,"maxAttempts":2.0,"timeoutMs":9.5)");
  CHECK(fractions.priority == 1);
  CHECK(fractions.max_attempts == 2);
  CHECK(fractions.answer_timeout.count() == 9);
  // The objective of a submission has to stay within the range of the clocks.
  SubmissionSpec spec;
  spec.steps.resize(1);
  spec.steps[0].count = 1;
  spec.steps[0].estimate = std::chrono::seconds(100);
  CHECK(ObjectiveOf(large, spec) > std::chrono::hours(24));
  CHECK(ObjectiveOf(large, spec).count() < std::numeric_limits<Duration::rep>::max() / 2);
}

HttpResult Answered(const std::string& body) {
  HttpResult result;
  result.status = 200;
  result.body = body;
  return result;
}

// The lower 32 bits of 4294967299 are 3, which would be taken for a report about run 3.
TEST_CASE("a report of a run whose number is out of range is skipped", "[odd_entries]") {
  const auto running = [](const std::string& run) {
    return DecodeHoldReply(Answered(R"({"running":[["a.0.1.2",)" + run + R"(,"c",41,17]]})"))
        .running;
  };
  const auto finished = [](const std::string& number, const std::string& run) {
    return DecodeHoldReply(
               Answered(R"({"finished":[[)" + number + R"(,"a.0.1.9",)" + run + R"(,"done",""]]})"))
        .finished;
  };
  REQUIRE(running("3").size() == 1);
  REQUIRE(running("3.0").at(0).run == 3);
  REQUIRE(finished("58", "1").size() == 1);
  REQUIRE(finished("58.0", "1").at(0).number == 58);
  for (const char* odd : {"4294967299", "1e300", "-1", "2.5", "99999999999999999999"}) {
    INFO(odd);
    CHECK(running(odd).empty());
    CHECK(finished("58", odd).empty());
  }
  for (const char* odd : {"1e300", "-1", "2.5", "99999999999999999999"}) {
    INFO(odd);
    CHECK(finished(odd, "1").empty());
  }
}

// The owner of a cell would end at its first order for such a record, as would each later owner.
TEST_CASE("a stored record with text that no order can hold is unreadable", "[odd_entries]") {
  AcceptedSubmission accepted;
  accepted.id = SubmissionId("000000000000000a");
  accepted.spec.payload = "x\xFF";
  accepted.spec.steps.resize(1);
  accepted.spec.steps[0].count = 1;
  if (const auto read = DecodeAccepted(EncodeAccepted(accepted))) {
    Order order;
    order.order = StartOrder{*ParseTaskKey("a.0.0.0"), 1, read->spec.payload, TargetTime(5), ""};
    CHECK_NOTHROW(EncodeOrder(order, 7));
  }
  accepted.spec.payload = "x";
  REQUIRE(DecodeAccepted(EncodeAccepted(accepted)));
  Submission submission;
  submission.accepted = accepted;
  submission.AddOccurrence(0);
  Task& task = submission.occurrences.at(0).steps.at(0).tasks.at(0);
  task.run = 1;
  task.checkpoint = "c";
  Submission read = submission;
  REQUIRE(DecodeProgress(EncodeProgress(submission), &read));
  task.checkpoint = "\xC3";
  CHECK_FALSE(DecodeProgress(EncodeProgress(submission), &read));
  accepted.id = SubmissionId("\xFF");
  CHECK_FALSE(DecodeAccepted(EncodeAccepted(accepted)));
}

// The id is sent to the target in a header.
TEST_CASE("an entry whose id no header can hold names no target", "[odd_entries]") {
  const auto decode = [](const std::string& id) {
    return DecodeTarget("servers/" + id,
                        R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":8,)"
                        R"("state":"ready","sequence":4,"room":{"cpu":1000,"memMb":10}})");
  };
  REQUIRE(decode("i-1"));
  for (const char* id : {"", "i\r\nX-More: 1", "i\n", "i 1", "i\t", "\xC3\xA9", "\x7F"}) {
    INFO(id);
    CHECK_FALSE(decode(id));
  }
}

TEST_CASE("odd values and numbers in a row of the store leave the other rows", "[odd_entries]") {
  const StoreReply reply = DecodeStoreReply(
      ReadRange{},
      Answered(R"({"items":[{"key":"a","value":"W1tb","rev":-1,"created":1e300,"lease":2.5},7,[],)"
               R"({"key":"b","value":"eA==","rev":4,"more":)" +
               Nested(13) + R"(},{"key":[],"value":"eA=="}],"storeRevision":6})"));
  REQUIRE(reply.status == StoreStatus::kOk);
  REQUIRE(reply.items.size() == 2);
  CHECK(reply.items[0].value == "[[[");
  CHECK(reply.items[0].revision == 0);
  CHECK(reply.items[0].created_revision == 0);
  CHECK(reply.items[0].lease == 0);
  CHECK(reply.items[1].revision == 4);
}

}  // namespace
}  // namespace pistachio::platform
