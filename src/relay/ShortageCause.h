#pragma once

#include <cstddef>

namespace crocusmount::relay {

/// Why a call was refused for lack of capacity.
enum class ShortageCause {
    ForeseenTooLate, ///< its turn was expected to come too late
    WaitedTooLong, ///< its turn had not come by the end of its longest wait
    FailedAttempt, ///< servers rejected it, and no further attempt is allowed
};

constexpr std::size_t ShortageCauseCount = 3;

const char* toString(ShortageCause);

} // namespace crocusmount::relay
