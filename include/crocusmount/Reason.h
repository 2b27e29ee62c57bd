#pragma once

#include <array>

namespace crocusmount {

/// The reason why a request was refused or failed, an attempt failed, or a frame was dropped. Each reason has its own
/// counter.
enum class Reason {
    // Requests that were refused or failed; callers see these reasons.
    UnknownPipeline,
    NotPermitted, ///< the workspace's labels do not match the pipeline's selector
    KeyRequired, ///< a request that must not run twice has no idempotency key
    KeyClaimed, ///< another request claimed the idempotency key
    KeyReused, ///< the idempotency key was used for a request with other parameters
    StoreUnavailable, ///< the idempotency key could not be claimed in time
    DeadlineTooShort, ///< the expected wait and run time exceed the timeout
    DeadlinePassed,
    QueueFull,
    NoRoute, ///< no chain of backend servers covers the model
    RetryBudgetSpent, ///< retries exceed the permitted share of the requests
    RetriesSpent, ///< the request had its maximum number of attempts
    Draining, ///< this instance will exit
    Isolated, ///< this instance has reached neither the store nor other instances for too long
    NotRepeatable, ///< an attempt failed, and the request must not run twice
    CallerGone, ///< the caller closed its connection
    NotConfigured, ///< no configuration has been read yet, or the one in use may be outdated
    UnknownRoute, ///< no route is configured for the host and path of the call
    UnknownKey, ///< the API key is not known
    CrashesServers, ///< backend servers crashed whenever the request ran; it is not sent to any more
    NoCapacity, ///< all suitable backend servers are full
    LimitReached, ///< all suitable backend servers name limits that leave no request for the call
    ServersInBackoff, ///< all suitable backend servers asked to be sent nothing for longer than the call can wait
    NoPathToServers, ///< this instance reaches no backend server, while other instances do
    TimedOut,
    ServerFailure, ///< a backend server answered with an error
    // Attempts that failed; the request is retried or fails.
    ConnectFailed,
    ConnectionLost,
    RefusedByBackend, ///< a backend server did not accept the attempt
    BackendError,
    StageFailed,
    Stalled, ///< no token for too long
    Truncated, ///< the tokens received do not match the count in the end frame
    TraceMismatch, ///< a token was not computed by the stages of the chain
    IndexGap, ///< a token is missing
    // Frames that were dropped.
    LateFrame, ///< its attempt has ended
    DoubledFrame, ///< its token was already delivered
    CrossedFrame, ///< names another attempt than the one of its connection
};

/// The number of reasons.
constexpr std::size_t ReasonCount = static_cast<std::size_t>(Reason::CrossedFrame) + 1; // NOLINT

/// @return the name of the reason in snake_case, for answers, logs and metrics
const char* toString(Reason);

} // namespace crocusmount
