#pragma once

#include "relay/RelayReducer.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace crocusmount::relay {

/// Simulates instances, each with its own relay reducer, that share one retry budget for a plain service, on a virtual
/// clock. Each instance knows the others from the store's list, which it reads with a delay.
class RetryFleet {
public:
    struct Options {
        std::size_t instances = 6;
        double callsPerSecond = 100; ///< over all instances
        double ratio = 0.2; ///< retries that each call allows, over all instances
        double slack = 196; ///< further retries in each window, over all instances
        Duration window = std::chrono::seconds(10); ///< of the limit
        std::uint64_t seed = 1;
    };
    /// What arrived in the window that exceeds the limit most.
    struct Window {
        Duration from {}; ///< since the start of the simulation
        std::size_t repeats = 0; ///< arrivals beyond the first of their call
        double allowed = 0; ///< by ratio and slack
    };

    explicit RetryFleet(Options);

    /// Advances the virtual clock while calls arrive.
    void run(Duration);
    /// Sets the share of the runs that fail, from 0 to 1.
    void setFailureRate(double rate) { m_failureRate = rate; }
    /// Ends instances without notice. Each starts again after up to twice `downtime`.
    /// @param count  the first so many
    void kill(std::size_t count, Duration downtime);
    void killOne(std::size_t instance, Duration downtime);
    /// Lets the store answer none of the first `count` instances, or all of them again. The entries of instances that
    /// it does not answer end with their leases; if it answers none, leases pause.
    void silenceStoreFor(std::size_t count);

    /// @return the window with the least room, or the largest excess, under the limit
    Window tightestWindow() const;
    /// @return retries that arrived
    std::size_t given() const { return m_repeats.size(); }
    /// @return failed calls that the budget kept from a retry
    std::uint64_t denied() const;

private:
    struct Instance {
        std::unique_ptr<RelayReducer> reducer; ///< null while the process is down
        int starts = 0;
        bool isListed = false; ///< the store holds its entry
        bool isStoreSilent = false; ///< the store does not answer it
        TimePoint heardAt; ///< when the store answered it last
    };

    void at(Duration delay, std::function<void()>);
    double random();
    Duration randomUpTo(Duration);
    void start(std::size_t instance);
    void tick(std::size_t instance, int start);
    void registerSelf(std::size_t instance, int start);
    /// Ends the entry of a start whose lease ran out, because the process ended or the store did not answer it.
    void endLapsedEntry(std::size_t instance, int start);
    /// Lets each instance read the list after a delay of its own.
    void publishList();
    void readList(std::size_t instance);
    void sendCall();
    void post(std::size_t instance, RelayEventBody);
    void arrive(std::size_t instance, const effect::StartAttempt&);
    std::size_t countBetween(const std::vector<TimePoint>&, TimePoint from, TimePoint until) const;

    Options m_options;
    std::vector<Instance> m_instances;
    std::multimap<TimePoint, std::function<void()>> m_actions;
    std::vector<TimePoint> m_requests; ///< when callers sent their calls
    std::vector<TimePoint> m_repeats; ///< when a server received a call again
    std::map<RequestId, int> m_arrivals; ///< by call
    std::uint64_t m_deniedByEnded = 0; ///< by processes that have ended
    double m_failureRate = 0;
    TimePoint m_now = timePoint(1000000);
    TimePoint m_startedAt = m_now;
    std::uint64_t m_randomState;
    std::uint64_t m_nextCall = 1;
};

} // namespace crocusmount::relay
