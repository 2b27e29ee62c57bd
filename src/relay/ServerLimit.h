#pragma once

#include "crocusmount/Time.h"

#include <optional>

namespace crocusmount::relay {

/// The rate of requests that a backend server accepts from all instances together, as it names it in its answers.
struct ServerLimit {
    std::optional<double> perSecond {}; ///< requests a second; nothing if the server names no limit
    /// When the attempt was started whose answer showed this. Answers can overtake each other, so the one to the latest
    /// attempt counts.
    TimePoint askedAt {};

    bool isNamed() const { return perSecond.has_value(); }
    bool operator==(const ServerLimit&) const = default;
};

} // namespace crocusmount::relay
