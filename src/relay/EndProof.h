#pragma once

namespace crocusmount::relay {

/// What showed whether an answer is complete that had ended without a proof.
enum class EndProof {
    None, ///< nothing, so the end stayed undecided
    LaterAnswer, ///< the server began to answer a later call
    Report, ///< the server answered a check with a report
    Identity, ///< the server answered a health check, which names its id
    LaterEvent, ///< a later event of another stream came through the server
    Refusal, ///< no process listens at the server's address
    LaterStart, ///< another start or another server has its address or its id
    LostStage, ///< a stage was known to be lost when the answer ended
};

/// @return the snake_case name used in logs
const char* toString(EndProof);

} // namespace crocusmount::relay
