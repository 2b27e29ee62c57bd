#pragma once

#include "admission/ConcurrencyLimit.h"
#include "admission/FairQueue.h"
#include "admission/RetryBudget.h"
#include "relay/Call.h"
#include "relay/RelayCounters.h"
#include "relay/RelayEffect.h"
#include "relay/RelayEvent.h"
#include "relay/RelayOptions.h"
#include "relay/ServerFleet.h"

#include <absl/container/flat_hash_map.h>
#include <optional>

namespace crocusmount::relay {

/// The decisions of the relay, a function from events to effects over its own state: which calls are admitted, how
/// long they wait, where they run, what is tried again and what the final answer is. It reads no clock, opens no
/// socket and draws no random number.
class RelayReducer {
public:
    explicit RelayReducer(RelayOptions);

    /// Takes one event in.
    /// @param event    what happened
    /// @param effects  what is to be done is appended, in order
    void reduce(const RelayEvent& event, RelayEffects& effects);

    const RelayCounters& counters() const { return m_counters; }
    const ServerFleet& fleet() const { return m_fleet; }
    /// @return the configuration in force, or null before the first
    const std::shared_ptr<const RouteTable>& routes() const { return m_routes; }
    std::size_t openCalls() const { return m_calls.size(); }
    std::size_t waitingCalls() const;
    bool isDraining() const { return m_drainedAt.has_value(); }
    const Call* find(RequestId) const;

private:
    struct Context {
        TimePoint now;
        std::uint64_t entropy = 0;
    };
    /// What waits for a service and runs at it.
    struct ServiceState {
        FairQueue waiting;
        ConcurrencyLimit limit; ///< of streams
        double running = 0; ///< calls at its servers
        double endsPerSecond = 0; ///< moving average
        TimePoint lastEnd;
    };
    struct Placement {
        BackendId server;
        std::string address;
        Chain chain;
    };

    void on(const event::ConfigurationAccepted&, const Context&, RelayEffects&);
    void on(const event::ServerRegistered&, const Context&, RelayEffects&);
    void on(const event::ServerUnregistered&, const Context&, RelayEffects&);
    void on(const event::InstancesCounted&, const Context&, RelayEffects&);
    void on(const event::CallArrived&, const Context&, RelayEffects&);
    void on(const event::CallerLeft&, const Context&, RelayEffects&);
    void on(const event::AttemptSent&, const Context&, RelayEffects&);
    void on(const event::EventDelivered&, const Context&, RelayEffects&);
    void on(const event::AttemptEnded&, const Context&, RelayEffects&);
    void on(const event::RerouteAnswered&, const Context&, RelayEffects&);
    void on(const event::DrainRequested&, const Context&, RelayEffects&);
    void on(const event::Tick&, const Context&, RelayEffects&);

    std::optional<Reason> admit(Call&, const Context&) const;
    void dispatchAll(const Context&, RelayEffects&);
    void dispatch(FairQueue&, const Context&, RelayEffects&);
    bool place(Call&, const Context&, RelayEffects&);
    std::optional<Placement> findPlacement(const Call&, const Context&);
    std::optional<Chain> findChain(const Call&, const Service&, const Context&, const Hop* first = nullptr);
    std::optional<Placement> findServer(const Call&, const Context&);
    void releaseAttempt(Call&, TimePoint now);
    void noteOutcome(const Call&, const event::AttemptEnded&, const Context&);
    void retryOrFinish(Call&, Reason, bool serverFailure, const Context&, RelayEffects&);
    void finishUnanswered(Call&, Reason, const Context&, RelayEffects&);
    bool reroute(Call&, const std::vector<BackendId>& away, const Context&, RelayEffects&);
    void moveOffLeaving(const Context&, RelayEffects&);
    void checkRunning(Call&, const Context&, RelayEffects&);
    bool isStalled(const Call&, TimePoint now) const;
    std::vector<BackendId> stalledStages(const Call&) const;
    Duration comeBackAfter(Reason, const Context&) const;
    void remove(RequestId);
    FairQueue& queueOf(const ServiceId& service) { return m_services[service].waiting; }
    bool hasRoom(const Call&) const;
    bool waitsInVain(const Call&, const Context&) const;
    RetryBudget& budgetOf(const ServiceId&);

    RelayOptions m_options;
    RelayCounters m_counters;
    ServerFleet m_fleet;
    std::shared_ptr<const RouteTable> m_routes;
    std::map<RequestId, Call> m_calls;
    absl::flat_hash_map<AttemptId, RequestId> m_attempts;
    std::map<ServiceId, ServiceState> m_services;
    std::map<ServiceId, RetryBudget> m_budgets;
    std::map<BackendId, TimePoint> m_moveOffAt; ///< servers that leave, with the time at which streams are moved
    std::uint32_t m_instances = 1;
    std::uint64_t m_nextAttempt = 1;
    std::optional<TimePoint> m_drainedAt;
};

} // namespace crocusmount::relay
