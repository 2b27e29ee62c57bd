#pragma once

#include "relay/ServerNotice.h"

#include <string>

namespace crocusmount {

/// A first stage's answer to the question which stage of a stream has stalled.
struct StalledStage {
    std::string address; ///< the first stage's own if its answer is missing or cut off; empty if it names none
    relay::ServerNotice notice; ///< what the answer states about the first stage
};

} // namespace crocusmount
