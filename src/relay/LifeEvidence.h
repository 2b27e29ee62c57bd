#pragma once

#include "crocusmount/Ids.h"
#include "relay/AnswerEnding.h"
#include "relay/EndProof.h"

namespace crocusmount::relay {

/// What an answer from a server's address, or its absence, shows about the server that is registered there.
struct LifeEvidence {
    LifeSign sign = LifeSign::Silent;
    EndProof proof = EndProof::None; ///< kind of the message
    /// Whether no other server can have sent the answer: it names the id, or the request was for this id only. The
    /// address of a server that has ended may be used by its successor.
    bool isIdentified = false;
    StartTime start {}; ///< start that answered; zero if the answer names none

    /// @param known  start that a server is known to have; zero if its id is used for one start only
    /// @return whether the answer can only have come from that start of the server
    bool identifies(StartTime known) const { return start == known && (isIdentified || start.value()); }
};

} // namespace crocusmount::relay
