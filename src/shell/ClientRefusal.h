#pragma once

#include <cstddef>
#include <string_view>

namespace crocusmount {

/// Why a client's connection or request was refused before its request ran.
enum class ClientRefusal {
    Malformed, ///< status 400
    HeadTooLong, ///< status 431: the head, the line before a chunk, or the trailers
    BodyTooLong, ///< status 413
    TooSlow, ///< the request did not arrive in time
    MemoryFull, ///< status 503: the requests of all connections hold too much
    ConnectionsFull, ///< status 503: too many connections, none of which can be closed
    ConnectionDropped, ///< closed at once: so many connections that a refusal would take another one
    ClosedForOther, ///< an idle connection was closed for a new one, or its unfinished request refused with 503
    AnswerNotTaken, ///< closed: the client does not read its answer
};
inline constexpr std::size_t ClientRefusalCount = static_cast<std::size_t>(ClientRefusal::AnswerNotTaken) + 1;

/// @return the name for metrics and logs
constexpr std::string_view toString(ClientRefusal refusal)
{
    constexpr std::string_view names[ClientRefusalCount] = { "malformed", "head_too_long", "body_too_long", "too_slow",
        "memory_full", "connections_full", "connection_dropped", "closed_for_other", "answer_not_taken" };
    return names[static_cast<std::size_t>(refusal)];
}

} // namespace crocusmount
