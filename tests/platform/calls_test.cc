#include <catch2/catch.hpp>

#include "platform/store_wire.h"
#include "platform/target_wire.h"

namespace pistachio::platform {
namespace {

// A write that was carried out was repeated unnoticed; the answer to the repetition, that nothing
// was done, was taken for that to the write. A repeated order may reach the target's next
// incarnation.
TEST_CASE("writes and orders are sent at most once", "[calls]") {
  const auto send_once = [](const StoreCall& call) {
    return EncodeStoreCall("127.0.0.1:1", call, std::chrono::seconds(1)).send_once;
  };
  CHECK(send_once(Transaction{}));
  CHECK_FALSE(send_once(ReadKey{"key"}));
  CHECK_FALSE(send_once(WatchPrefix{}));
  for (const decltype(Order::order)& order : std::initializer_list<decltype(Order::order)>{
           StartOrder{}, StopOrder{}, HoldOrder{}, PaceOrder{}}) {
    CHECK(EncodeOrder(Order{TargetId("target"), "127.0.0.1:1", order, std::chrono::seconds(1)}, 7)
              .send_once);
  }
}

}  // namespace
}  // namespace pistachio::platform
