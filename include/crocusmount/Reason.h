#pragma once

#include <array>

namespace crocusmount {

/// Why a request was refused or failed, why an attempt ended early, or why a frame was dropped.
/// Each value has its own counter.
enum class Reason {
    // Refusals and failures that callers see.
    UnknownPipeline,
    NotPermitted,
    KeyRequired,
    KeyClaimed,
    KeyReused,
    StoreUnavailable,
    DeadlineTooShort,
    DeadlinePassed,
    QueueFull,
    NoRoute,
    RetryBudgetSpent,
    RetriesSpent,
    Draining,
    Isolated,
    NotRepeatable,
    CallerGone,
    NotConfigured, ///< no configuration has been read yet, or the one in use may be outdated
    UnknownRoute,
    UnknownKey,
    CrashesServers, ///< servers ended each time it ran: it is sent to none
    NoCapacity, ///< every server that could take it is full
    TimedOut,
    ServerFailure, ///< a backend server answered with a failure of its own
    // Ends of attempts that lead to a retry or a failure.
    ConnectFailed,
    ConnectionLost,
    RefusedByBackend,
    BackendError,
    StageFailed,
    Stalled,
    Truncated,
    TraceMismatch,
    IndexGap,
    // Frames that were dropped.
    LateFrame,
    DoubledFrame,
    CrossedFrame, ///< names another attempt than its connection's
};

constexpr std::size_t ReasonCount = static_cast<std::size_t>(Reason::CrossedFrame) + 1; // NOLINT

/// @return the snake_case name used in answers, logs and metrics
const char* toString(Reason);

} // namespace crocusmount
