#include <catch2/catch.hpp>

#include "pistachio/process/ownership/cluster_view.h"

namespace pistachio {
namespace {

// Guards against load records that a host of another version cannot read during an update.
TEST_CASE("a load record is readable with and without the data for forecasts", "[load_record]") {
  LoadRecord record;
  record.pending[QueueId("batch")] = {3, 0};
  record.targets = 12;
  record.batch_cpu = 5000.0;
  const auto without = DecodeLoad(EncodeRecord(record));
  REQUIRE(without);
  REQUIRE_FALSE(without->forecast);
  REQUIRE_FALSE(without->Room().forecast);
  ForecastLoad forecast;
  forecast.waiting = {{0, 2.0}, {2, 730.0}};
  forecast.end_rate = 41.0;
  forecast.cores_in_use = 60.0;
  forecast.free_cores = 7.0;
  forecast.factor = {0.1, 0.9};
  record.forecast = forecast;
  const auto with = DecodeLoad(EncodeRecord(record));
  REQUIRE(with);
  REQUIRE(with->targets == 12);
  REQUIRE(with->forecast);
  REQUIRE(with->Room().forecast->waiting == forecast.waiting);
  REQUIRE(with->forecast->end_rate == 41.0);
  REQUIRE(with->forecast->cores_in_use == 60.0);
  REQUIRE(with->forecast->free_cores == 7.0);
  REQUIRE(with->forecast->factor.deviation_log == 0.9);
}

TEST_CASE("a load record tells up to which revision it counts", "[load_record]") {
  LoadRecord record;
  record.pending[QueueId("batch")] = {3, 2};
  REQUIRE_FALSE(DecodeLoad(EncodeRecord(record))->counted_revision);
  record.counted_revision = 41;
  const auto decoded = DecodeLoad(EncodeRecord(record));
  REQUIRE(decoded);
  REQUIRE(decoded->counted_revision == 41);
  REQUIRE(decoded->pending.at(QueueId("batch")).waiting == 3);
  REQUIRE(decoded->pending.at(QueueId("batch")).unconfirmed == 2);
  REQUIRE_FALSE(decoded->forecast);
}

// Guards against work of this host that its next choices ignore until the next load record.
TEST_CASE("work sent to a cell counts in the forecast until the next record", "[load_record]") {
  CellRoom room;
  room.forecast = ForecastLoad{};
  CellDemand demand;
  demand.priority = 2;
  demand.work = 61.2e9;
  AddDemand(demand, &room);
  REQUIRE(room.forecast->waiting.at(2) == Approx(61.2));
}

}  // namespace
}  // namespace pistachio
