#pragma once

#include "crocusmount/Ids.h"

#include <string>

namespace crocusmount {

/// How an engine answered an order.
enum class OrderAnswer {
    Begun,
    Holds, ///< the state is already as ordered
    Refused, ///< it does not fit the engine's state
    Unknown, ///< no answer: it may still be carried out, also later
};

/// An engine's answer to an order, with what it says of itself.
struct OrderReply {
    OrderAnswer answer = OrderAnswer::Unknown;
    unsigned status = 0; ///< as answered; 0: no answer
    std::string culprit; ///< address of the engine that the order cannot be carried out at; empty if none is named
    StartTime startedAt; ///< of the engine that answered

    bool isAccepted() const { return answer == OrderAnswer::Begun || answer == OrderAnswer::Holds; }
};

} // namespace crocusmount
