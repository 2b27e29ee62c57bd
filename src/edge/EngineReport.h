#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/LayerRange.h"

#include <cstdint>
#include <optional>

namespace crocusmount {

/// How an engine answered a check.
enum class CheckAnswer {
    Alive,
    Silent, ///< nothing came in time: it is dead, cut off, or overloaded
    Refused, ///< its machine says that no process listens there
};

/// What an engine says of itself.
struct EngineReport {
    CheckAnswer answer = CheckAnswer::Silent;
    double slowness = 1; ///< its work takes this many times as long as its card's figures say
    StartTime startedAt;
    std::uint32_t queued = 0; ///< requests that wait there for a place
    double memoryUsed = 1; ///< part of its memory for requests that is taken
    LayerRange layers; ///< held and ready to run; empty if none
};

} // namespace crocusmount
