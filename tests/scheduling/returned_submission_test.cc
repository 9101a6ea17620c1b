#include <catch2/catch.hpp>

#include "tests/scheduling/cell_fixture.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kMoveRevision = 20;
constexpr std::uint64_t kReturnRevision = 30;

/// A submission that finds no target, and another cell with room.
class MovingSubmission {
 public:
  MovingSubmission() {
    this->fixture.Submit();
    this->BeginMove();
  }

  /// Advances until the cell moves the submission. The write has no answer yet.
  void BeginMove() {
    for (int step = 0; step < 100; ++step) {
      this->fixture.Advance(milliseconds(50));
      MoveDestination destination;
      destination.cell = CellId("other");
      destination.room.targets = 40;
      destination.room.capacity_cpu = 160000;
      for (int target = 0; target < 40; ++target) {
        destination.room.free_slots.AddTarget(4000, 100);
      }
      std::vector<MoveDestination> destinations{destination};
      if (const auto move = this->fixture.cell.NextMove(&destinations, this->fixture.now)) {
        this->number = move->number;
        return;
      }
    }
    FAIL("the submission does not move");
  }

  /// Shows the record that the other cell's owner has written to the inbox.
  void Return(std::uint64_t revision) {
    AcceptedSubmission accepted = this->fixture.Accepted();
    accepted.moves = 2;
    this->fixture.cell.Accept(accepted, revision, this->fixture.now);
  }

  void ConfirmMove(std::uint64_t revision) {
    this->fixture.cell.OnMoved(this->number, revision, this->fixture.now);
  }

  bool IsHere() const { return this->fixture.cell.submissions().count(kSubmission) != 0; }
  const Submission& Here() const { return this->fixture.cell.submissions().at(kSubmission); }

  CellFixture fixture;
  std::uint64_t number = 0;  ///< of the last move
};

}  // namespace

// The answer to the write that moved a submission away was lost, and the other cell moved it back
// before a repetition was answered. The copy that had come back was taken for the one that left.
TEST_CASE("a submission that comes back before its move is confirmed stays in the cell",
          "[cell][returned]") {
  MovingSubmission moving;
  moving.Return(kReturnRevision);
  moving.ConfirmMove(kMoveRevision);
  REQUIRE(moving.IsHere());
  CHECK(moving.Here().revision == kReturnRevision);
  CHECK(moving.Here().accepted.moves == 2);
  CHECK_FALSE(moving.Here().moving);
  CHECK_FALSE(moving.Here().Ended());
  moving.fixture.AnswerHold(moving.fixture.Reply());
  moving.fixture.Advance(milliseconds(200));
  CHECK(moving.fixture.Take<StartOrder>());
}

TEST_CASE("the last of several returns before the move is confirmed counts", "[cell][returned]") {
  MovingSubmission moving;
  moving.Return(kReturnRevision + 1);
  moving.Return(kReturnRevision);
  moving.ConfirmMove(kMoveRevision);
  REQUIRE(moving.IsHere());
  CHECK(moving.Here().revision == kReturnRevision + 1);
}

TEST_CASE("a submission that ends here after its return stays in the cell", "[cell][returned]") {
  MovingSubmission moving;
  moving.Return(kReturnRevision);
  moving.fixture.cell.Cancel(kSubmission, {"inbox", kReturnRevision + 1}, moving.fixture.now);
  moving.ConfirmMove(kMoveRevision);
  REQUIRE(moving.IsHere());
  // The mark was for the submission that had come back.
  CHECK(moving.Here().cancelled);
}

TEST_CASE("a cancel of a returned submission is kept until its record is read",
          "[cell][returned]") {
  MovingSubmission moving;
  moving.fixture.cell.Cancel(kSubmission, {"own-request", kReturnRevision + 1}, moving.fixture.now);
  moving.ConfirmMove(kMoveRevision);
  REQUIRE_FALSE(moving.IsHere());
  moving.Return(kReturnRevision);
  REQUIRE(moving.IsHere());
  CHECK(moving.Here().cancelled);
}

TEST_CASE("a record that is older than the move is no return", "[cell][returned]") {
  MovingSubmission moving;
  moving.Return(kMoveRevision - 1);
  moving.ConfirmMove(kMoveRevision);
  CHECK_FALSE(moving.IsHere());
}

TEST_CASE("a submission can leave and return again", "[cell][returned]") {
  MovingSubmission moving;
  moving.Return(kReturnRevision);
  moving.ConfirmMove(kMoveRevision);
  REQUIRE(moving.IsHere());
  moving.fixture.Advance(seconds(2));
  moving.BeginMove();
  moving.Return(kReturnRevision);  // the same record, read again
  moving.ConfirmMove(kReturnRevision + 10);
  CHECK_FALSE(moving.IsHere());
  moving.Return(kReturnRevision + 20);
  CHECK(moving.IsHere());
}

}  // namespace pistachio
