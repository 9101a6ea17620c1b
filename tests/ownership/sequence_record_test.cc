#include <catch2/catch.hpp>
#include <limits>

#include "pistachio/process/ownership/cluster_view.h"

namespace pistachio {
namespace {

using std::chrono::milliseconds;

const OwnerRecord kWriter{HostId("edge-1"), 7, 41};

TEST_CASE("a sequence record keeps its lease bounds and witnesses", "[ownership]") {
  const SequenceRecord record{
      kWriter,
      {{{TargetId("t-1"), milliseconds(2300)}, {TargetId("t-2"), Duration(0)}},
       {{TargetId("t-2"), milliseconds(10300)}},
       {7, std::numeric_limits<std::uint64_t>::max()}}};
  const auto decoded = DecodeSequence(EncodeRecord(record));
  REQUIRE(decoded);
  REQUIRE(decoded->writer.nonce == kWriter.nonce);
  REQUIRE(decoded->leases.bounds == record.leases.bounds);
  REQUIRE(decoded->leases.long_leases == record.leases.long_leases);
  REQUIRE(decoded->leases.witnesses == record.leases.witnesses);
}

// An owner of the version before writes the sequence key without bounds, and extends leases without
// regard to them. A bound that outlasted its writes could be too short.
TEST_CASE("a sequence record of the version before has no lease bounds", "[ownership]") {
  const auto decoded = DecodeSequence(EncodeRecord(kWriter));
  REQUIRE(decoded);
  REQUIRE(decoded->leases.bounds.empty());
  REQUIRE(decoded->leases.long_leases.empty());
  REQUIRE(decoded->leases.witnesses.empty());
}

TEST_CASE("an unreadable sequence record is not decoded", "[ownership]") {
  REQUIRE_FALSE(DecodeSequence(""));
  REQUIRE_FALSE(DecodeSequence("x"));
}

}  // namespace
}  // namespace pistachio
