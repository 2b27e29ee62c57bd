#pragma once

namespace crocusmount::relay {

/// Why an attempt is cancelled that has not ended.
enum class CancelCause {
    Superseded, ///< another attempt goes on with the call
    LostStage, ///< it lost a stage for good
    CallEnded, ///< its call has its final answer, or its caller has left
};

/// @return the snake_case name used in logs
const char* toString(CancelCause);

} // namespace crocusmount::relay
