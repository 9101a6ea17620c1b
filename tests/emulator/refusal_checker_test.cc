#include <catch2/catch.hpp>

#include "emulator/rule_checker.h"
#include "emulator/simulated_cluster.h"

namespace pistachio::emulator {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const SubmissionId kId("00000000000000a1");
const SubmissionId kOther("00000000000000a2");
constexpr TimePoint kStart(seconds(10));

/// A checker that knows two submissions, with one attempt of the first at a host.
class RefusalChecker : public RuleChecker {
 public:
  RefusalChecker() {
    this->OnSubmit(kId, this->spec, 1);
    this->OnSubmit(kOther, this->spec, 1);
    this->OnAttemptArrived(kId);
  }

  void Store(const SubmissionId& id, TimePoint now) {
    this->OnKeysChanged(id.str(), "north", {"north"}, {}, now);
  }

  void Remove(const SubmissionId& id, TimePoint now) {
    this->OnKeysChanged(id.str(), "", {}, {}, now);
  }

  void StartRun() {
    this->OnStart(TaskKey{kId, 0, 0, 0}, 1, "target", this->spec.payload, "", false, true, kStart);
  }

  void RequireOneViolation(const std::string& text) const {
    REQUIRE(this->violations().size() == 1);
    REQUIRE(this->violations().front().rfind("REFUSED: " + kId.str(), 0) == 0);
    REQUIRE_THAT(this->violations().front(), Catch::Contains(text));
  }

 private:
  SubmissionSpec spec = MakeSubmission(1, 1, seconds(1));
};

TEST_CASE("the checker reports the refusal of a submission that is stored",
          "[emulator][refusal_checker]") {
  RefusalChecker checker;
  checker.Store(kId, kStart);
  REQUIRE(checker.violations().empty());
  checker.OnAttemptArrived(kId);
  checker.OnRejected(kId, kStart + seconds(2));
  checker.RequireOneViolation("although it is stored");
}

// The submission may have ended and left the store since.
TEST_CASE("the checker reports the refusal of a submission that was accepted",
          "[emulator][refusal_checker]") {
  const bool removed = GENERATE(false, true);
  RefusalChecker checker;
  checker.Store(kId, kStart);
  checker.OnAccepted(kId, kStart + milliseconds(10));
  if (removed) {
    checker.Remove(kId, kStart + seconds(1));
  }
  checker.OnAttemptArrived(kId);
  checker.OnRejected(kId, kStart + seconds(2));
  checker.RequireOneViolation("although an attempt was accepted before");
}

TEST_CASE("the checker reports the refusal of a submission that has run",
          "[emulator][refusal_checker]") {
  RefusalChecker checker;
  checker.Store(kId, kStart);
  checker.StartRun();
  checker.Remove(kId, kStart + seconds(1));
  checker.OnAttemptArrived(kId);
  checker.OnRejected(kId, kStart + seconds(2));
  checker.RequireOneViolation("although a run of it has started");
}

// A write of an attempt before the refusal takes effect after it. An acceptance that follows does
// not make the refusal true.
TEST_CASE("the checker reports a submission that is stored late after its refusal",
          "[emulator][refusal_checker]") {
  const bool accepted = GENERATE(false, true);
  RefusalChecker checker;
  checker.OnAttemptArrived(kId);
  checker.OnRejected(kId, kStart);
  checker.OnAttemptArrived(kOther);
  checker.Store(kOther, kStart + seconds(1));
  REQUIRE(checker.violations().empty());
  checker.Store(kId, kStart + seconds(6));
  if (accepted) {
    checker.OnAccepted(kId, kStart + seconds(7));
  }
  checker.RequireOneViolation("is stored 6000000 us after its refusal");
  // Only the first write stores it; a move changes its cell.
  checker.OnKeysChanged(kId.str(), "south", {"south"}, {}, kStart + seconds(8));
  REQUIRE(checker.violations().size() == 1);
}

TEST_CASE("an attempt before the last refusal does not permit a late write",
          "[emulator][refusal_checker]") {
  RefusalChecker checker;
  checker.OnRejected(kId, kStart);
  checker.OnAttemptArrived(kId);
  checker.OnRejected(kId, kStart + seconds(1));
  checker.Store(kId, kStart + seconds(2));
  checker.RequireOneViolation("is stored 1000000 us after its refusal");
}

TEST_CASE("the checker permits that an attempt after the refusal stores the submission",
          "[emulator][refusal_checker]") {
  RefusalChecker checker;
  checker.OnRejected(kId, kStart);
  checker.OnAttemptArrived(kId);
  checker.Store(kId, kStart + seconds(1));
  checker.OnAccepted(kId, kStart + seconds(1));
  checker.StartRun();
  REQUIRE(checker.violations().empty());
}

TEST_CASE("the checker reports a run of a refused submission that was never accepted",
          "[emulator][refusal_checker]") {
  RefusalChecker checker;
  checker.OnRejected(kId, kStart);
  checker.StartRun();
  checker.RequireOneViolation("although its submission was refused");
}

// The caller has no answer of an attempt that is lost, so the refusal still holds.
TEST_CASE("an attempt at a host that is down or frozen does not arrive",
          "[emulator][refusal_checker]") {
  const bool frozen = GENERATE(false, true);
  SimulatedCluster cluster(SimulatedClusterSettings{});
  cluster.Run(seconds(2));
  cluster.checker().OnSubmit(kId, MakeSubmission(1, 1, seconds(1)), 1);
  cluster.checker().OnRejected(kId, cluster.now());
  if (frozen) {
    cluster.FreezeHost("north-host-0");
  } else {
    cluster.KillHost("north-host-0");
  }
  cluster.Submit("north-host-0", kId, MakeSubmission(1, 1, seconds(1)));
  cluster.checker().OnKeysChanged(kId.str(), "north", {"north"}, {}, cluster.now());
  REQUIRE(cluster.checker().violations().size() == 1);
  REQUIRE_THAT(cluster.checker().violations().front(), Catch::Contains("after its refusal"));
}

}  // namespace
}  // namespace pistachio::emulator
