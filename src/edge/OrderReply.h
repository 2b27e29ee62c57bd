#pragma once

#include "crocusmount/Ids.h"
#include "relay/ServerNotice.h"

#include <string>

namespace crocusmount {

/// How an engine answered an order.
enum class OrderAnswer {
    Begun, ///< the engine has begun to carry out the order
    AlreadyInState, ///< the engine is already in the ordered state
    Refused, ///< the order does not fit the engine's state
    Unknown, ///< no answer: the engine may still carry out the order, even later
};

/// An engine's answer to an order.
struct OrderReply {
    OrderAnswer answer = OrderAnswer::Unknown;
    unsigned status = 0; ///< HTTP status of the answer; 0: no answer
    std::string culprit; ///< address of the engine that prevents the order; empty if the answer names none
    StartTime startedAt; ///< start time of the engine process that answered; zero if the answer does not say
    relay::ServerNotice notice; ///< what the answer states about the engine

    bool isAccepted() const { return answer == OrderAnswer::Begun || answer == OrderAnswer::AlreadyInState; }
};

} // namespace crocusmount
