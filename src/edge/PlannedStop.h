#pragma once

#include "shell/Net.h"

#include <chrono>

namespace crocusmount::relay {

class FrontServer;
class RelayNode;

/// The times of a planned stop, from its start.
struct PlannedStopTimes {
    using Span = std::chrono::milliseconds;

    /// From now on idle connections are closed. By then the other instances send callers elsewhere, and a call that
    /// arrives on a kept connection would start too late to finish.
    Span closeIdle { 700 };
    /// How long a new connection is kept without a call.
    Span firstCall { 1000 };
    /// Until then new callers come: those that know this instance connect for up to three lifetimes of a directory
    /// answer.
    Span callersCome { 3500 };
    Span callsEnd { 7400 }; ///< calls that still wait or run get their final answer
    Span exit { 7700 }; ///< the process ends, whether or not these answers are written

    /// @return times that end the process before a grace has passed
    static PlannedStopTimes within(Span grace);
};

/// Stops an instance so that each of its callers gets an answer: calls that run may finish, new ones are refused once
/// they could not, and those that are left at the end are told whether they ran.
class PlannedStop {
public:
    /// @param node   must outlive this
    /// @param front  must outlive this
    PlannedStop(net::io_context&, RelayNode& node, FrontServer& front, PlannedStopTimes);

    /// Carries out the stop. The process may end afterwards.
    Awaitable<void> run();

private:
    bool hasPassed(PlannedStopTimes::Span) const;
    Awaitable<void> sleep();

    RelayNode& m_node;
    FrontServer& m_front;
    PlannedStopTimes m_times;
    std::chrono::steady_clock::time_point m_start;
    Timer m_timer;
};

} // namespace crocusmount::relay
