#pragma once

#include "crocusmount/Time.h"

#include <cstdint>
#include <optional>

namespace crocusmount::relay {

/// What the head of an answer states about the backend server that sent it.
struct ServerNotice {
    /// Requests a second that the server accepts from all instances together; nothing if the answer names no limit.
    std::optional<double> limitPerSecond {};
    /// Of a rejection: how long the server asks this instance to send it nothing; nothing if it does not ask.
    std::optional<Duration> retryAfter {};
    bool isLeaving = false; ///< the server will exit
    bool isSigned = false; ///< the answer bears the server's seal
    std::uint32_t unreadable = 0; ///< headers of these that were ignored because of their values

    /// @return whether the answer states anything, or shows by its seal that the server names no limit
    bool hasContent() const { return limitPerSecond || retryAfter || isLeaving || isSigned || unreadable; }
};

} // namespace crocusmount::relay
