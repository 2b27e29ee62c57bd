#pragma once

namespace crocusmount::relay {

/// Why a running attempt is cancelled.
enum class CancelCause {
    Superseded, ///< another attempt continues the call
    Backoff, ///< its server asked to be sent nothing while the attempt was still connecting
    LostStage, ///< a server of the attempt has ended
    CallEnded, ///< the call has its final answer, or its caller has left
};

/// @return the snake_case name used in logs
const char* toString(CancelCause);

} // namespace crocusmount::relay
