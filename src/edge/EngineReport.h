#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/LayerRange.h"
#include "relay/ServerNotice.h"

#include <cstdint>
#include <optional>

namespace crocusmount {

/// How a backend server answered a check.
enum class CheckAnswer {
    Alive, ///< an answer arrived, whatever its status
    Silent, ///< no whole answer in time: the server is dead, unreachable or overloaded
    Refused, ///< the connection was refused: no process listens at the address
};

/// An engine's report of its health and load. The other fields are set only if the answer is Alive.
struct EngineReport {
    CheckAnswer answer = CheckAnswer::Silent;
    double slowness = 1; ///< duration of its work, as a multiple of the duration expected of its accelerator
    StartTime startedAt; ///< start time of the engine process that answered; zero if the report does not say
    std::uint32_t queued = 0; ///< requests that wait in the engine for a slot
    double memoryUsed = 1; ///< fraction of the memory for requests that is in use
    LayerRange layers; ///< layers that are loaded and ready to run; empty if none
    relay::ServerNotice notice; ///< what the answer states about the engine
};

} // namespace crocusmount
