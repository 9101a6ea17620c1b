#pragma once

#include <optional>
#include <string>

#include "pistachio/connection/http/http_types.h"
#include "pistachio/connection/store/calls.h"
#include "pistachio/process/scheduling/orders.h"

namespace pistachio::standin {

/// \brief Decodes an HTTP request to the store. \returns nothing if the path is not one of the
/// store's calls or the body is missing.
std::optional<StoreCall> DecodeStoreCall(const ServedRequest& request);

/// \brief Encodes the store's reply to \a call as an HTTP answer.
ServedAnswer EncodeStoreReply(const StoreCall& call, const StoreReply& reply);

/// \brief Order as a target receives it.
struct ReceivedOrder {
  TargetId expected;  ///< target that the sender means
  FencingToken token = 0;
  std::variant<StartOrder, StopOrder, HoldOrder, PaceOrder> order;
};

/// \brief Decodes an HTTP request to a target. \returns nothing if it is not an order.
std::optional<ReceivedOrder> DecodeOrder(const ServedRequest& request);

/// \brief Encodes a target's reply to a start, stop or pace order as an HTTP answer.
ServedAnswer EncodeOrderReply(const OrderReply& reply);

/// \brief Encodes a target's reply to a hold order as an HTTP answer.
ServedAnswer EncodeHoldReply(const HoldReply& reply);

/// \brief Encodes the value that a target writes to the store to register.
///
/// \param sequence number that rises with each registration of the target
std::string EncodeTarget(const TargetEntry& entry, std::uint64_t sequence);

}  // namespace pistachio::standin
