#include "pistachio/process/scheduling/record_codec.h"

#include <catch2/catch.hpp>

namespace pistachio {
namespace {

AcceptedSubmission Accepted() {
  AcceptedSubmission accepted;
  accepted.id = SubmissionId("0123456789abcdef");
  accepted.queue.id = QueueId("queue");
  accepted.queue.service = ServiceId("service");
  accepted.queue.max_attempts = 3;
  accepted.queue.stretch = 1.5;
  accepted.accepted_at = WallTime(1234567);
  accepted.spec.payload = "payload \xC3\xA9";
  StepSpec first;
  first.count = 2;
  first.need = Resources{500, 256, 1};
  first.estimate = std::chrono::milliseconds(900);
  first.image = ImageId("image");
  StepSpec second = first;
  second.after = {0};
  second.checkpointing = true;
  second.required_label = "kind";
  second.tail_bound = std::chrono::milliseconds(50);
  accepted.spec.steps = {first, second};
  return accepted;
}

TEST_CASE("an accepted submission is read as it was written", "[record_codec]") {
  const auto read = DecodeAccepted(EncodeAccepted(Accepted()));
  REQUIRE(read);
  REQUIRE(read->id == Accepted().id);
  REQUIRE(read->queue.stretch == 1.5);
  REQUIRE(read->accepted_at == WallTime(1234567));
  REQUIRE(read->spec.payload == Accepted().spec.payload);
  REQUIRE(read->spec.steps.size() == 2);
  REQUIRE(read->spec.steps[1].after == std::vector<std::uint32_t>{0});
  REQUIRE(read->spec.steps[1].required_label == "kind");
  REQUIRE(read->spec.steps[1].tail_bound == std::chrono::milliseconds(50));
  REQUIRE(read->spec.steps[0].need == Resources{500, 256, 1});
}

TEST_CASE("a progress record contains what a new owner needs to know about each task",
          "[record_codec]") {
  Submission submission;
  submission.accepted = Accepted();
  submission.AddOccurrence(0);
  submission.started = true;
  StepProgress& step = submission.occurrences.at(0).steps[0];
  step.tasks[0].phase = TaskPhase::kDone;
  step.tasks[0].run = 2;
  step.tasks[1].phase = TaskPhase::kRunning;
  step.tasks[1].run = 3;
  step.tasks[1].failures = 1;
  step.tasks[1].checkpoint = "saved";
  step.tasks[1].incarnation = {TargetId("target"), 77, "10.1.0.7:80"};
  Submission read;
  read.accepted = Accepted();
  REQUIRE(DecodeProgress(EncodeProgress(submission), &read));
  const StepProgress& step_read = read.occurrences.at(0).steps[0];
  REQUIRE(step_read.done == 1);
  REQUIRE(step_read.waiting == 0);
  REQUIRE(step_read.tasks[0].run == 2);
  REQUIRE(step_read.tasks[1].run == 3);
  REQUIRE(step_read.tasks[1].failures == 1);
  REQUIRE(step_read.tasks[1].checkpoint == "saved");
  REQUIRE(step_read.tasks[1].incarnation ==
          TargetIncarnation{TargetId("target"), 77, "10.1.0.7:80"});
  REQUIRE(read.occurrences.at(0).steps[0].tasks[1].incarnation.address == "10.1.0.7:80");
  REQUIRE(read.occurrences.at(0).steps[1].waiting == 2);
  REQUIRE(DecodeState(EncodeProgress(submission)) == SubmissionState::kRunning);
}

TEST_CASE("a progress record contains the crashes under each task", "[record_codec]") {
  Submission submission;
  submission.accepted = Accepted();
  submission.AddOccurrence(0);
  Task& task = submission.occurrences.at(0).steps[0].tasks[1];
  task.run = 2;
  task.crash_record = CrashRecord{1, 2, true, true};
  Submission read;
  read.accepted = submission.accepted;
  REQUIRE(DecodeProgress(EncodeProgress(submission), &read));
  REQUIRE(read.occurrences.at(0).steps[0].tasks[1].crash_record == CrashRecord{1, 2, true, true});
  REQUIRE(read.occurrences.at(0).steps[0].tasks[0].crash_record == CrashRecord{});
}

TEST_CASE("malformed records are refused and change nothing", "[record_codec]") {
  const std::string bytes = EncodeAccepted(Accepted());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CAPTURE(length);
    REQUIRE_FALSE(DecodeAccepted(bytes.substr(0, length)));
  }
  Submission submission;
  submission.accepted = Accepted();
  REQUIRE_FALSE(DecodeProgress("nonsense", &submission));
  REQUIRE_FALSE(DecodeProgress(bytes, &submission));
  REQUIRE(submission.occurrences.empty());
  REQUIRE_FALSE(DecodeState(""));
}

TEST_CASE("task keys are read and written", "[record_codec]") {
  const TaskKey key{SubmissionId("0123456789abcdef"), 1, 2, 17};
  REQUIRE(key.str() == "0123456789abcdef.1.2.17");
  REQUIRE(ParseTaskKey(key.str()) == key);
  for (const char* text : {"", "a", "a.1.2", "a.1.2.x", "a.1.2.3.4", "a..2.3", "a.1.2.-3"}) {
    CAPTURE(text);
    REQUIRE_FALSE(ParseTaskKey(text));
  }
}

TEST_CASE("the objective is computed from the critical path", "[record_codec]") {
  SubmissionSpec spec = Accepted().spec;
  StepSpec beside = spec.steps[0];
  beside.estimate = std::chrono::milliseconds(1000);
  spec.steps.push_back(beside);
  REQUIRE(CriticalPath(spec) == std::chrono::milliseconds(1800));
  REQUIRE(RemainingCriticalPath(spec, 0) == std::chrono::milliseconds(1800));
  REQUIRE(RemainingCriticalPath(spec, 1) == std::chrono::milliseconds(900));
  REQUIRE(RemainingCriticalPath(spec, 2) == std::chrono::milliseconds(1000));
  QueueSettings queue;
  queue.stretch = 1.5;
  queue.objective_slack = std::chrono::milliseconds(250);
  REQUIRE(ObjectiveOf(queue, spec) == std::chrono::milliseconds(2950));
}

TEST_CASE("a stored submission beyond the limits is unreadable", "[record_codec]") {
  AcceptedSubmission accepted;
  accepted.id = SubmissionId("0123456789abcdef");
  accepted.spec.steps.resize(1);
  REQUIRE(DecodeAccepted(EncodeAccepted(accepted)));
  accepted.spec.repeat_count = 4000000000;
  REQUIRE_FALSE(DecodeAccepted(EncodeAccepted(accepted)));
}

TEST_CASE("a stored submission of the version without moves is read", "[record_codec]") {
  AcceptedSubmission accepted;
  accepted.id = SubmissionId("0123456789abcdef");
  accepted.spec.steps.resize(1);
  accepted.moves = 3;
  REQUIRE(DecodeAccepted(EncodeAccepted(accepted))->moves == 3);
  std::string bytes = EncodeAccepted(accepted);
  // The record is an array of nine; without its last byte it has eight elements.
  bytes.pop_back();
  bytes[0] = static_cast<char>(bytes[0] - 1);
  const auto read = DecodeAccepted(bytes);
  REQUIRE(read);
  REQUIRE(read->moves == 0);
}

TEST_CASE("a progress record of the version without begun submissions is read", "[record_codec]") {
  Submission submission;
  submission.accepted = Accepted();
  submission.started = true;
  Submission read;
  read.accepted = Accepted();
  REQUIRE(DecodeProgress(EncodeProgress(submission), &read));
  REQUIRE_FALSE(read.begun);
  submission.begun = true;
  std::string bytes = EncodeProgress(submission);
  REQUIRE(DecodeProgress(bytes, &read));
  REQUIRE(read.begun);
  // The record is an array of eight; without its last byte it has seven elements.
  bytes.pop_back();
  bytes[0] = static_cast<char>(bytes[0] - 1);
  read.begun = false;
  REQUIRE(DecodeProgress(bytes, &read));
  REQUIRE(read.begun);
}

}  // namespace
}  // namespace pistachio
