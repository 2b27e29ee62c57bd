#pragma once

#include <cstddef>
#include <cstdint>

namespace crocusmount::relay {

/// How a server marks the end of an answer's body.
enum class AnswerFraming {
    Length, ///< by a length in the head
    Chunks, ///< by a last chunk
    Connection, ///< only by the end of the connection
};
inline constexpr std::size_t AnswerFramingCount = 3;

/// What ended the reading of an answer's body.
enum class AnswerStop {
    EndOfMessage, ///< the length was reached, or the last chunk arrived
    Closed, ///< the server's side closed the connection in order, as it also does for a process that dies
    Aborted, ///< the connection was reset, timed out or cancelled, or the bytes were malformed
};
inline constexpr std::size_t AnswerStopCount = 3;

/// How an answer that had begun ended.
struct AnswerEnding {
    AnswerFraming framing = AnswerFraming::Length;
    AnswerStop stop = AnswerStop::Aborted;
    bool isStream = false; ///< a stream of events, as opposed to an answer that is delivered at once
    bool isContinuation = false; ///< continues a stream of which the caller already has events
    bool isInsideEvent = false; ///< bytes of an unfinished event were left
    std::uint32_t events = 0; ///< events of this answer that the caller received
};

/// What the end of an answer shows.
enum class Completeness {
    Complete,
    Unproven, ///< complete, or its server died between two events
    BrokenOff,
};

/// Decides whether an answer is complete. Every reader of answers uses this.
Completeness completenessOf(const AnswerEnding&);

/// What was found out about an unproven end.
enum class EndVerdict {
    Verified, ///< complete: the servers that the answer depended on are alive
    BrokenOff, ///< a server that it depended on has ended
    Undecided, ///< neither showed until another attempt continued the answer, the caller left or the deadline passed
};
inline constexpr std::size_t EndVerdictCount = 3;

/// What is known of a server that an unproven end depends on.
enum class LifeSign {
    Alive, ///< its address answered a request that was sent after the end
    Silent, ///< it did not answer a check that was sent after the end
    Ended, ///< its port refuses connections
    Replaced, ///< another server answered at its address
};

/// @return the snake_case name for logs and metrics
const char* toString(EndVerdict);
/// @return the snake_case name for logs and metrics
const char* toString(AnswerFraming);
/// @return the snake_case name for logs and metrics
const char* toString(AnswerStop);

} // namespace crocusmount::relay
