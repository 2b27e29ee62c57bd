#pragma once

#include "tests/RelayHarness.h"

#include <map>
#include <vector>

namespace crocusmount::relay {

/// Simulates engines that run streams on a virtual clock, and carries out the effects of the reducer as the shell does.
/// An engine processes the prompt of a stream before it sends the first event, then sends an event every 40 ms. Engines
/// can leave, which ends them after a given time.
class LeavingFleet {
public:
    struct Options {
        Duration promptTime = std::chrono::milliseconds(120); ///< from the start of an attempt to its first event
        std::uint64_t events = 150; ///< number of events of each stream
        std::uint32_t rejections = 0; ///< number of attempts to resume a stream that engines reject
        RelayOptions relay {}; ///< options of the reducer
    };

    explicit LeavingFleet(Options);

    /// Starts one stream every 10 ms, and lets the clock run until each stream has had an event.
    void startStreams(std::uint32_t streams);
    /// Adds a server to the registry, or updates its entry.
    void add(const RegisteredServer&);
    /// Removes a server from the registry.
    void remove(const BackendId&);
    /// Marks a server as leaving in the registry. After the drain time the server ends, and all attempts through it
    /// break off.
    void leave(const RegisteredServer&, Duration drain);
    /// Advances the virtual clock.
    void advance(Duration);

    /// @return number of answers that were delivered completely
    std::uint32_t completed() const { return m_completed; }
    /// @return number of answers that ended incomplete
    std::uint32_t brokenOff() const { return m_brokenOff; }
    /// @return number of events that reached a caller twice or out of order
    std::uint32_t misplaced() const { return m_misplaced; }
    /// @return number of attempts that were started to resume a stream
    std::uint32_t resumeAttempts() const { return m_resumeAttempts; }
    /// @return number of attempts that broke off because a server of their chain ended
    std::uint32_t brokenByServerEnd() const { return m_brokenByServerEnd; }
    /// @return number of running attempts with a server as their first stage
    std::size_t runningAt(const BackendId&) const;

private:
    /// A running attempt.
    struct RunningAttempt {
        RequestId call;
        BackendId server;
        Chain chain;
        TimePoint nextEventAt;
        std::uint64_t nextEventId = 1;
        bool isHeld = false; ///< whether its events are held back, see effect::HoldAnswer
    };

    void send(RelayEventBody);
    void carryOutEffects();
    void start(const effect::StartAttempt&);
    void endServers();
    void deliverDue();
    void deliver(AttemptId);

    Options m_options;
    RelayHarness m_harness;
    std::map<AttemptId, RunningAttempt> m_runningAttempts;
    std::vector<AttemptId> m_rejected; ///< rejected attempts that the reducer has not been told of yet
    std::map<RequestId, std::uint64_t> m_lastDelivered; ///< id of the last event that each caller received
    std::map<BackendId, TimePoint> m_endAt; ///< end of each leaving server
    std::uint32_t m_rejectionsLeft = 0;
    std::uint32_t m_completed = 0;
    std::uint32_t m_brokenOff = 0;
    std::uint32_t m_misplaced = 0;
    std::uint32_t m_resumeAttempts = 0;
    std::uint32_t m_brokenByServerEnd = 0;
};

} // namespace crocusmount::relay
