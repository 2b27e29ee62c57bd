#pragma once

#include "crocusmount/Time.h"
#include "relay/ServiceConfiguration.h"
#include "relay/StartKnowledge.h"

#include <cstdint>
#include <map>
#include <optional>

namespace crocusmount::relay {

/// Decides, while an instance knows too little, which calls it holds and for how long, when refused callers come back,
/// and how fast held calls are let go.
///
/// Load pattern: what has piled up while nothing was known is let go at once. All instances start again while the store
/// is silent. When it is back, each would send all that waited, and all that returns, to the same few servers in the
/// same moment. Instead each sends its share of what the listed servers carry, at a rate that these can begin.
///
/// The instances decide alone. Their shares add up to the whole because each knows how many instances there are.
class StartAdmission {
public:
    /// Most calls held while no servers are known. Nothing shows then what the servers could begin in time; a few
    /// hundred calls are what one instance receives within the time for which they are held.
    static constexpr std::size_t MaxHeldWithoutServers = 256;

    /// What the listed servers of a service carry.
    struct Capacity {
        double calls = 0; ///< that all servers run at the same time; zero if they can't run any
        double running = 0; ///< of these, calls that all instances run now; meaningful only once loads are known
        bool isPaced = false; ///< whether a call takes long enough to begin that calls must not be sent at once

        bool operator==(const Capacity&) const = default;
    };

    /// @param streamPatience  time without a first event after which callers abandon a stream
    explicit StartAdmission(Duration streamPatience);

    /// Notes the first event of the process.
    void started(TimePoint now);
    /// Notes that the first configuration is in effect.
    void configured(TimePoint now);
    /// Notes whether the copy of the store may lack changes.
    void storeCopyChecked(bool isOutdated, TimePoint now);
    /// Notes the number of instances, including this one.
    void instancesCounted(std::uint32_t instances, TimePoint now);
    /// Notes whether the load of the other instances is known.
    void loadsReported(bool areKnown, TimePoint now);
    /// Sets what the listed servers of a service carry.
    /// @param entropy  uniformly random; decides when this instance lets its first call go
    void setCapacity(const ServiceId&, Capacity, TimePoint now, std::uint64_t entropy);

    /// @return what is known of a service; Complete before the first setCapacity()
    StartKnowledge knowledgeOf(const ServiceId&, TimePoint now) const;
    /// @return whether registry entries of servers that live may be missing, because the store was silent lately
    bool mayMissServers(TimePoint now) const;
    /// Finds out whether a call was most likely made before, from what is left of its caller's time.
    /// @param timeout  the caller's; zero if unknown
    bool isReturning(const RouteId&, Duration timeout);
    /// @return whether the servers have come back lately, so that calls that can't be in time any more go at a pace
    bool isRecovering(const ServiceId&, TimePoint now) const;
    /// @return whether the knowledge of any service may change without a change of the registry or of the instances
    bool isWatched(TimePoint now) const;
    /// @return how long ago the instance began to know too little of a service, or of all; zero if it knows enough
    Duration unknownFor(const ServiceId&, TimePoint now) const;

    /// @param timeout    the caller's; zero if unknown
    /// @param objective  of the call's route; zero if unknown
    /// @param pauseAim   of the call's route; zero if unknown
    /// @return how long a call may be held from its arrival; zero if that would be useless
    Duration holdTime(Duration timeout, Duration objective, bool isStream, Duration pauseAim = {}) const;
    /// @return whether a call that may begin before `until` is begun by then if `ahead` calls go before it
    bool canBegin(const ServiceId&, std::size_t ahead, TimePoint now, TimePoint until) const;
    /// @param isLate  whether the call can't begin within its objective any more; calls in time go first
    /// @return whether a call may go now
    bool mayGo(const ServiceId&, bool isLate, TimePoint now);
    /// Notes that a call went.
    void went(const ServiceId&);
    /// @param held       calls of the service that are held and go first
    /// @param remaining  of the caller's timeout
    /// @param fraction   uniformly random from 0 to 1
    /// @return when a refused caller should come back
    Duration retryAfter(const ServiceId&, std::size_t held, Duration remaining, double fraction, TimePoint now) const;

    /// @return calls in time and late ones together that this instance may let go per second; zero if none, infinite if
    ///         there is no limit
    double callsPerSecond(const ServiceId&) const;
    /// @return whether the servers have come back lately and run all the calls that they carry, by the loads reported
    bool isFull(const ServiceId&, TimePoint now) const;
    /// @return this instance's share of the calls that the servers run at the same time; zero if they are unknown
    double shareOf(const ServiceId&) const;
    /// @return random fraction to add to the cost of engines, so that instances that know no loads choose differently;
    ///         it decreases as their loads are reported
    double costSpread(TimePoint now) const;
    std::uint32_t instances() const { return m_instances; }

private:
    struct ServiceState {
        Capacity capacity;
        std::optional<TimePoint> unknownSince; ///< set while the servers can't run a call
        TimePoint grownAt; ///< when a server was last added
        TimePoint knownSince; ///< meaningful only while they can
        double permits = 0; ///< calls that may go now, with a fraction of a further one
        double firstPermit = 0; ///< random fraction of a call that may go when the servers are known
        bool wantsInitialFill = false; ///< the first calls may go once the share is known
        TimePoint refilledAt;
    };

    bool isCountSettled(TimePoint now) const;
    bool knowsLoads(const ServiceState&, TimePoint now) const;
    const ServiceState* find(const ServiceId&) const;

    Duration m_streamPatience;
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_configuredAt;
    bool m_isCopyOutdated = false;
    std::optional<TimePoint> m_copyCompleteSince; ///< last time that the copy of the store was found to lack nothing
    std::uint32_t m_instances = 1;
    std::optional<TimePoint> m_countChangedAt; ///< nothing before the first count
    std::optional<TimePoint> m_loadsKnownAt; ///< when loads were first reported
    std::map<ServiceId, ServiceState> m_services;
    std::map<RouteId, Duration> m_longestTimeouts; ///< of callers, by route
};

} // namespace crocusmount::relay
